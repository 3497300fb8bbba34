Feature: An accepted configuration is in force everywhere and never goes back

  Background:
    Given a fleet of 6 nodes before "registry-desk"

  Scenario: A publication reaches all nodes in all zones
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

  Scenario: A faulty publication is refused by all nodes, the next is accepted
    When the operators publish the text "services: {}" as configuration
    Then all nodes record "config-refused" in their audit trail
    And all nodes follow configuration 1 within 8 s
    When the operators publish version 3 with a new route
    Then all nodes follow configuration 3 within 8 s

  Scenario Outline: A faulty list of VMs is refused: <what>
    When the platform publishes the list <text>
    Then all nodes record "config-refused" in their audit trail
    And all nodes still know 6 upstreams

    Examples: lists that no platform should publish
      | what             | text                                              |
      | not a list       | {"name": "a"}                                     |
      | a bad name       | [{"name": "A!", "zone": "z", "ip": "127.0.0.1"}]  |
      | an unknown field | [{"name": "a", "zone": "z", "ip": "127.0.0.1", "x": 1}] |

  Scenario: Two operators race, and all nodes end with the same
    When two operators publish at the same time
    Then all nodes follow configuration 2 within 8 s
    And all nodes have the same digest

  Scenario: A changed service keeps its ejections and the work in its slots
    When upstream 1 changes to "fail_share" of "0.8"
    And callers send 600 lookups to all nodes
    Then node 1 records "upstream-ejected" in its audit trail
    When callers send 9 slow registrations of 6000 ms to node 2
    And the operators publish version 2 with a longer deadline of lookups
    Then all nodes follow configuration 2 within 8 s
    And the nodes count 9 running requests
    And node 1 holds an upstream to be ejected or on trial
