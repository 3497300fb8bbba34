Feature: The largest configurations are loaded beside the requests

  # The translation grew with services times operations.
  Scenario Outline: A configuration with <count> services, each with a latency target of its own
    Given a configuration with <count> services, each with a route of its own
    When a node loads it
    Then all <count> routes are in force
    And other work of the node waited for 50 ms of processor time at most
    And no more than the document is passed on to other nodes

    Examples:
      | count |
      | 100   |
      | 2700  |

  Scenario: Unchanged services are not translated again
    Given a configuration with 1500 services, each with a route of its own
    When a node loads it
    And a version moves the route "r-7" to "team-8"
    Then the route "r-7" goes to "team-8"
    And the 1500 services and 1499 routes are the same objects as before

  Scenario: A version without routes takes all of them away
    Given a configuration with 3 services, each with a route of its own
    When a node loads it
    And a version has no resources
    Then all 0 routes are in force
