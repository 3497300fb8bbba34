Feature: Cut paths and paused nodes do not count against upstreams

  Scenario Outline: The stream to one home is cut <direction>
    Given a fleet of 4 nodes in front of "registry-desk" with a relay in front of node 2
    When the relay is cut <direction>
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no node ejects an upstream
    When the relay is healed
    And callers send 60 lookups to all nodes
    Then every lookup has the whole answer to its own request

    Examples: one direction at a time
      | direction |
      | forward   |
      | backward  |

  Scenario: A paused node resumes
    Given a fleet of 4 nodes in front of "registry-desk"
    When node 2 is paused for 5000 ms while lookups go to the other nodes
    Then every lookup has the whole answer to its own request
    And node 2 records "pause-noticed" in its audit trail
    And no node ejects an upstream

  Scenario: Both halves of a partitioned fleet keep serving
    Given a fleet of 6 nodes in front of "registry-desk" with relays in front of all
    When the fleet is cut into halves
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no node ejects an upstream
    When the halves are reconnected
    Then all nodes are linked again within 20 s

  Scenario: A crash that one node sees is known to all
    Given a fleet of 6 nodes in front of "registry-desk"
    When a poison request is sent to node 1 until it is refused
    Then a poison request to node 4 is refused without a crash
    And at most 2 upstreams crashed

  Scenario: A resumed node catches up before it acts on stale state
    Given a fleet of 9 nodes in front of "registry-desk"
    When a node that does not watch the platform is paused, and the operators publish version 2 with a new route
    And a caller sends GET "/new-2/rosa" to that node before it resumes
    Then the status is 200

  Scenario: A request that crashed an upstream goes to another one next
    Given a fleet of 3 nodes in front of "registry-desk"
    When the operators publish version 2 with "services: {registry-desk: {retry: {max_attempts: 1}}}" added
    Then all nodes follow configuration 2 within 8 s
    When a poison request is sent to node 1 every 1500 ms until it is refused
    Then at most 2 upstreams crashed
