Feature: An unexpected error ends its task, but not the process

  Scenario: A failing message handler closes only its own stream
    Given two streams to a node whose handler fails on pings with serial 666
    When the first stream sends a ping with serial 666
    And the second stream sends a ping with serial 1
    Then the first stream is closed because of an unexpected error
    And the second stream has delivered its ping

  Scenario: A failed loop is restarted
    Given a loop that fails 2 times
    When the loop is supervised
    Then it ran 3 times

  Scenario: A broken invariant is not suppressed
    Given a loop that breaks an invariant
    When the loop is supervised
    Then the error propagates
