Feature: One-way cuts between a node and what it reaches outside the fleet

  Scenario Outline: The path from a node to its upstream is cut <direction>
    Given a fleet of 4 nodes in front of "registry-desk" with a relay in front of upstream 1
    When callers send 200 lookups to all nodes
    And the relay is cut <direction>
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And some node records "upstream-stalled" in its audit trail
    When the relay is healed
    And callers send 200 lookups to all nodes
    Then every lookup has the whole answer to its own request

    Examples: one direction at a time
      | direction |
      | forward   |
      | backward  |

  Scenario Outline: The path from a node to the platform is cut <direction>
    Given a fleet of 4 nodes in front of "registry-desk" with a relay in front of the platform of node 1
    When the relay is cut <direction>
    And the operators publish version 2 with a new route
    Then all nodes follow configuration 2 within 8 s

    Examples: one direction at a time
      | direction |
      | forward   |
      | backward  |
