Feature: Leaving upstreams get no new work, and planned stops cut nothing

  Scenario: An upstream drains before the list says so
    Given a fleet of 4 nodes before "registry-desk"
    When upstream 2 begins to drain while lookups go on for 6 s
    Then upstream 2 starts nothing later than 3 s after that
    And every lookup has the whole answer to its own request

  Scenario: The list says that a VM leaves
    Given a fleet of 4 nodes before "registry-desk"
    When VM 2 is listed as leaving while lookups go on for 6 s
    Then upstream 2 starts nothing later than 3 s after that
    And every lookup has the whole answer to its own request

  Scenario: All nodes are replaced one after the other under load
    Given a fleet of 4 nodes before "registry-desk"
    When all nodes are restarted in turn while callers look up at the other nodes
    Then every lookup has the whole answer to its own request

  Scenario: Stream keys are changed without a stop
    Given a fleet with the key "old" of 3 nodes before "registry-desk"
    When all nodes are restarted in turn with the keys "old, new" while callers look up at the other nodes
    Then every lookup has the whole answer to its own request
    And no node refuses a link of another
    When all nodes are restarted in turn with the keys "new, old" while callers look up at the other nodes
    Then every lookup has the whole answer to its own request
    And no node refuses a link of another
    When all nodes are restarted in turn with the keys "new" while callers look up at the other nodes
    Then every lookup has the whole answer to its own request
    And no node refuses a link of another
    And all nodes are linked again within 20 s
