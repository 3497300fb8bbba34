Feature: Leaving upstreams get no new work; planned stops lose no request

  Scenario: An upstream drains before the list says so
    Given a fleet of 4 nodes in front of "registry-desk"
    When upstream 2 starts draining while lookups continue for 6 s
    Then upstream 2 starts no request later than 3 s after that
    And every lookup has the whole answer to its own request

  Scenario: The list says that a VM leaves
    Given a fleet of 4 nodes in front of "registry-desk"
    When VM 2 is listed as leaving while lookups continue for 6 s
    Then upstream 2 starts no request later than 3 s after that
    And every lookup has the whole answer to its own request

  # An overdue lookup was sent again 3.2 s after its upstream was listed so.
  Scenario: Long work is not sent again to an upstream that leaves meanwhile
    Given a fleet of 1 nodes in front of "registry-desk"
    When a caller sends GET "/cultivars/usual?ms=280" to node 1, 8 times in turn
    And VM 1 is listed as leaving while it runs "/cultivars/long?ms=1900"
    Then that request was answered, and no run began after the node knew of it

  Scenario: A rolling restart of all nodes under load
    Given a fleet of 4 nodes in front of "registry-desk"
    When all nodes are restarted in turn while callers send lookups to the other nodes
    Then every lookup has the whole answer to its own request

  Scenario: Stream keys are rotated without downtime
    Given a fleet with the key "old" of 3 nodes in front of "registry-desk"
    When all nodes are restarted in turn with the keys "old, new" while callers send lookups to the other nodes
    Then every lookup has the whole answer to its own request
    And no node refuses a link from another
    When all nodes are restarted in turn with the keys "new, old" while callers send lookups to the other nodes
    Then every lookup has the whole answer to its own request
    And no node refuses a link from another
    When all nodes are restarted in turn with the keys "new" while callers send lookups to the other nodes
    Then every lookup has the whole answer to its own request
    And no node refuses a link from another
    And all nodes are linked again within 20 s
