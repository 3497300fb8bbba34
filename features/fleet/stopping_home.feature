Feature: The upstream beside a stopping node gets work while its node accepts some

  Scenario: The upstream beside a stopping node is used while the other is full
    Given a fleet with platform stop times of 2 nodes and 1 entry in front of "registry-desk"
    When node 2 is stopped while 12 callers keep sending registrations of 300 ms to node 3
    Then upstream 2 ran registrations sent after node 2 had begun to stop
    And node 2 exits with 0
    And every registration was run once or truly refused
