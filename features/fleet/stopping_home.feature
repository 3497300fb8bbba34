Feature: The upstream beside a stopping node gets work while its node accepts some

  Scenario: The upstream beside a stopping node is used while the other is full
    Given a fleet with platform stop times of 2 nodes and 1 entry in front of "registry-desk"
    When node 2 is stopped while 12 callers keep sending registrations of 300 ms to node 3
    Then upstream 2 ran registrations sent after node 2 had begun to stop
    And node 2 exits with 0
    And every registration was run once or truly refused

  # The mean and the deviation of many quick runs say nothing of a rare long one.
  Scenario: A long run of a quick operation is not cut by the end of its home
    Given a fleet with platform stop times of 1 nodes and 1 entry in front of "registry-desk"
    When node 1 stops, and a few registrations of 2500 ms come late in its stop among quick ones at node 2
    Then every registration was run once or truly refused
    And at least 15 registrations were run
    And node 1 exits with 0

  Scenario: Late lookups that a stopping home might cut are answered by another home
    Given a fleet with platform stop times of 2 nodes and 1 entry in front of "registry-desk"
    When node 1 stops, and lookups of 900 ms come late in its stop while node 2 is full for a time
    Then upstream 1 was running none of them when node 1 ended
    And every lookup was answered

  # Its entry has sent on the first half already, so it can't try another home.
  Scenario: A body that arrives slowly is not cut by the end of its home
    Given a fleet with platform stop times of 1 nodes and 1 entry in front of "registry-desk"
    When node 1 stops, and 1000 ms later a registration comes to node 2 whose body takes 4500 ms
    Then every registration was run once or truly refused
