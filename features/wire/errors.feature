Feature: An unexpected error ends its task, not the process

  Scenario: A message that fails where it is taken in ends its stream only
    Given two streams to a node whose handler fails at pings of 666
    When the first stream sends a ping of 666
    And the second stream sends a ping of 1
    Then the first stream is closed for an unexpected error
    And the second stream has delivered its ping

  Scenario: A loop that fails is started anew
    Given a loop that fails 2 times
    When the loop is supervised
    Then it ran 3 times

  Scenario: A broken invariant is not hidden
    Given a loop that breaks an invariant
    When the loop is supervised
    Then the error is raised again
