Feature: Connections that go silent are given up, and their upstream is kept

  Scenario: Pooled connections to one upstream go silent while new ones work
    Given a fleet of 3 nodes before "registry-desk"
    When callers send 100 lookups to all nodes
    And upstream 2 stops answering on its open connections
    And callers send 100 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And node 2 records "connection-condemned" in its audit trail
    And no node ejects an upstream
