Feature: Work with a deadline of a minute

  The deadline of an operation covers its whole answer. A large download and
  work whose caller leaves long before the deadline therefore use an operation
  with a deadline of a minute.

  Scenario: A caller that hangs up cancels its work
    Given a fleet of 3 nodes and 1 entry in front of "archive-ledger"
    When a caller sends GET "/bundles/left?ms=50000" to node 4 and hangs up
    Then the upstreams record "/bundles/left" as "cancelled"

  Scenario: A caller downloads a bundle through an entry
    Given a fleet of 3 nodes and 1 entry in front of "archive-ledger"
    When a caller downloads 200000000 bytes of "/bundles/large" through node 4
    Then the download is whole
    And no node uses more than 64000000 bytes of memory
