Feature: Large answers stream through in bounded memory

  The deadline of an operation covers its whole answer, so the large one is
  asked of an operation that is given a minute.

  Scenario: A caller downloads a bundle through an entry
    Given a fleet of 3 nodes and 1 entry before "archive-ledger"
    When a caller downloads 200000000 bytes of "/bundles/large" through node 4
    Then the download is whole
    And no node uses more than 64000000 bytes of memory
