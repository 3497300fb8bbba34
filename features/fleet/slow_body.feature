Feature: A caller's deadline counts from the head of its request

  Scenario: The time in which a body arrives is not given to the upstream again
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "slow" to entry-0
    When the head of "slow" with a deadline of 3000 ms is followed by its body after 1500 ms
    Then request "slow" has the whole answer to its own request
    And its upstream was given 1500 ms at most
