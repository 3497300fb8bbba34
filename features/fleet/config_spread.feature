Feature: All nodes activate an accepted configuration and never an older one

  Background:
    Given a fleet of 6 nodes in front of "registry-desk"

  Scenario: A new configuration reaches all nodes in all zones
    When the operators publish version 2 with a new route
    Then all nodes follow configuration 2 within 8 s
    And the platform was read at most 60 times

  Scenario: A stale platform does not bring the old version back
    When the operators publish version 2 with a new route
    Then all nodes follow configuration 2 within 8 s
    When the platform serves only version 1
    And node 2 is restarted
    Then all nodes follow configuration 2 within 8 s
    And node 2 records "platform-stale" in its audit trail

  Scenario: A node that starts while the platform is down asks other nodes
    When the platform goes down
    And node 3 is restarted with a seed
    Then node 3 is ready within 8 s
    And all nodes follow configuration 1 within 8 s

  Scenario: All nodes refuse an invalid configuration and accept the next one
    When the operators publish the text "services: {}" as configuration
    Then all nodes record "config-refused" in their audit trail
    And all nodes follow configuration 1 within 8 s
    When the operators publish version 3 with a new route
    Then all nodes follow configuration 3 within 8 s

  Scenario Outline: An invalid VM list is refused: <what>
    When the platform publishes the list <text>
    Then all nodes record "config-refused" in their audit trail
    And all nodes still know 6 upstreams

    Examples: malformed lists
      | what             | text                                              |
      | not a list       | {"name": "a"}                                     |
      | a bad name       | [{"name": "A!", "zone": "z", "ip": "127.0.0.1"}]  |
      | an unknown field | [{"name": "a", "zone": "z", "ip": "127.0.0.1", "x": 1}] |

  Scenario: Two operators publish concurrently and all nodes converge
    When two operators publish at the same time
    Then all nodes follow configuration 2 within 8 s
    And all nodes have the same digest

  Scenario: A changed service keeps its ejections and its running requests
    When upstream 1 changes to "fail_share" of "0.8"
    And callers send 600 lookups to all nodes
    Then node 1 records "upstream-ejected" in its audit trail
    When callers send 9 slow registrations of 6000 ms to node 2
    And the operators publish version 2 with a longer deadline for lookups
    Then all nodes follow configuration 2 within 8 s
    And the nodes report 9 running requests
    And node 1 reports an upstream as ejected or on trial
