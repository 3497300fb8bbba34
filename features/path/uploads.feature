Feature: Large request bodies are never sent twice

  Scenario: An upstream answers before it has read the body
    Given a fleet of 1 nodes in front of "registry-desk"
    When upstream 1 changes to "early" of "true"
    And a caller uploads 20000000 bytes through node 1
    Then the status is 413
    When upstream 1 changes to "early" of "false"
    And a caller uploads 200000 bytes through node 1
    Then the upload arrived whole

  # The rest was read by two greenlets, and the connection ended in an error.
  Scenario: An upstream answers while its caller pauses in the body
    Given a fleet of 1 nodes in front of "registry-desk"
    When upstream 1 changes to "early" of "true"
    And a caller announces 900000 bytes to node 1, sends 300000 and waits for the answer, 20 times
    Then the answer has status 413 and the connection is closed
    And no node reports an internal error

  Scenario: Many uploads at once stay within the memory of a node
    Given a fleet of 2 nodes and 1 entry in front of "registry-desk"
    When 200 callers upload 400000 bytes each through node 3 at once
    Then each upload arrived whole or was reported as not run
    And no node uses more than 128000000 bytes of memory

  Scenario: A truncated request body never runs as a complete one
    Given a fleet of 2 nodes and 1 entry in front of "registry-desk"
    When a caller announces 500000 bytes to node 3 and sends 300000 of them
    Then no upstream completed the upload
