Feature: Separate processes serve a request end to end

  Background:
    Given a shared fleet of 3 nodes in front of "registry-desk"

  Scenario: A lookup is answered by an upstream
    When a caller sends GET "/cultivars/rosa-alba" to node 1
    Then the status is 200
    And the header "X-Outcome" is "ran"
    And the answer's "path" is "/cultivars/rosa-alba"

  Scenario: A registration reaches its upstream with its body
    When a caller sends POST "/cultivars/rosa-nova" to node 2
      """
      name: Rosa nova
      """
    Then the status is 200
    And the answer's "body_sha256" is "03745eb2cb198954523c00dfda7ec8728e5e47612a97ff1722fea2cc3a5c0e1e"

  Scenario: Callers at all nodes get the answers to their own requests
    When callers send 200 lookups to all nodes
    Then every lookup has the whole answer to its own request

  Scenario: A path without a route is refused as not run
    When a caller sends GET "/unknown" to node 1
    Then the status is 404
    And the header "X-Outcome" is "not-run"
    And the answer's "reason" is "no-route"

  Scenario: Operators can inspect a node
    Then node 1 is ready
    And the admin page "/livez" of node 1 contains "true"
    And the admin page "/metrics" of node 1 contains "jackdawhead_config_version 1.0"
    And node 1 records "config-accepted" in its audit trail
