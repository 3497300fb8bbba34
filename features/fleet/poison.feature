Feature: A request that crashes upstreams is quarantined however its runs end

  # The home sent such a request once more on a new connection. The upstream no
  # longer listened, which counted as an upstream that was never reached.
  Scenario: A request crashes upstreams to which connections are pooled
    Given a fleet of 6 nodes in front of "registry-desk"
    When callers send 300 lookups to all nodes
    And a poison request is sent to node 1 until it is refused
    Then at most 2 upstreams crashed
    And a poison request to node 4 is refused without a crash

  # The entry knows only the end of the copy that it waits for last.
  Scenario: Both copies of a hedged request crash their upstreams
    Given a fleet of 6 nodes in front of "registry-desk"
    When callers send 300 lookups to all nodes
    And a poison request of 400 ms is sent to node 1 until it is refused
    Then at most 2 different upstreams ran the poison request
    And a poison request to node 4 is refused without a crash
