Feature: Two regions lose each other, and meet again

  Each region has its own copy of the platform and goes on talking within. The
  copies do not agree until the end, as a platform that is cut in two.

  Background:
    Given two regions of 3 nodes before "registry-desk"

  Scenario: Each region serves on its own and nobody is ejected for it
    When the regions lose each other
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no node ejects an upstream
    When the regions are joined again
    And callers send 300 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And each node has a link to the other region within 30 s

  Scenario: A change made in one region is in force in the other after the cut
    When the regions lose each other
    And the links between the regions are gone
    And the operators publish version 2 with a new route in region 1
    Then the nodes of region 1 follow configuration 2 within 8 s
    And the nodes of region 2 follow configuration 1 within 8 s
    When the regions are joined again
    Then all nodes follow configuration 2 within 30 s

  Scenario: A crash seen in one region is known in the other after the cut
    When the regions lose each other
    And the links between the regions are gone
    And a poison request is sent to node 1 until it is refused
    Then a poison request to node 3 is refused without a crash
    When the regions are joined again
    Then each node has a link to the other region within 30 s
    And a poison request to node 2 is refused without a crash
    And at most 2 upstreams crashed

  Scenario: Each region gets another change of one version
    When the regions lose each other
    And the links between the regions are gone
    And the operators publish version 2 with a new route in region 1
    And the operators publish version 2 with another route in region 2
    Then all nodes follow configuration 2 within 8 s
    When the regions are joined again
    Then all nodes have the same digest within 30 s
