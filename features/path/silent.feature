Feature: Silent connections are given up without ejecting their upstream

  Scenario: Pooled connections to one upstream go silent while new ones work
    Given a fleet of 3 nodes in front of "registry-desk"
    When callers send 100 lookups to all nodes
    And upstream 2 stops answering on its open connections
    And callers send 100 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no node ejects an upstream

  Scenario: A silent connection is condemned when its upstream is the only one
    Given a fleet of 1 nodes in front of "registry-desk"
    When a caller sends 5 lookups one after the other to node 1
    And upstream 1 stops answering on its open connections
    And a caller sends 5 lookups one after the other to node 1
    Then every lookup has the whole answer to its own request
    And node 1 records "connection-condemned" in its audit trail
    And no node ejects an upstream

  Scenario: The slower copy of a hedged request is cancelled
    Given a fleet of 3 nodes in front of "registry-desk"
    When callers send 30 lookups to all nodes
    And upstream 1 changes to "slow_factor" of "60"
    And callers send 60 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And upstream 1 records "cancelled" work

  Scenario: Long work on a pooled connection is not cancelled
    Given a fleet of 1 nodes in front of "registry-desk"
    When a caller sends 5 lookups one after the other to node 1
    And a caller sends GET "/cultivars/long?ms=1500" to node 1 with the deadline 8000 ms
    Then the status is 200
    And the first run of "/cultivars/long" is recorded as "done"
