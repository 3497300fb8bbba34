Feature: Two regions are cut off from each other and reconnected

  Each region has its own copy of the platform, and its nodes stay connected to
  each other. As with a partitioned platform, the copies may differ, and they
  are not reconciled before the scenario ends.

  Background:
    Given two regions of 3 nodes in front of "registry-desk"

  Scenario: Each region keeps serving and ejects no upstream
    When the regions are cut off from each other
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no node ejects an upstream
    When the regions are reconnected
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And each node has a link to the other region within 30 s

  Scenario: After the cut, a change made in one region is active in the other
    When the regions are cut off from each other
    And all links between the regions are closed
    And the operators publish version 2 with a new route in region 1
    Then the nodes of region 1 follow configuration 2 within 8 s
    And the nodes of region 2 follow configuration 1 within 8 s
    When the regions are reconnected
    Then all nodes follow configuration 2 within 30 s

  Scenario: After the cut, a crash seen in one region is known in the other
    When the regions are cut off from each other
    And all links between the regions are closed
    And a poison request is sent to node 1 until it is refused
    Then a poison request to node 3 is refused without a crash
    When the regions are reconnected
    Then each node has a link to the other region within 30 s
    And a poison request to node 2 is refused without a crash
    And at most 2 upstreams crashed

  Scenario: Each region gets another change of one version
    When the regions are cut off from each other
    And all links between the regions are closed
    And the operators publish version 2 with a new route in region 1
    And the operators publish version 2 with a different route in region 2
    Then all nodes follow configuration 2 within 8 s
    When the regions are reconnected
    Then all nodes have the same digest within 30 s
