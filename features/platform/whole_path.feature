Feature: A node with only the platform's settings serves requests

  Background:
    Given a node with the platform's settings and an upstream of "desk"

  Scenario: The caller gets the upstream's answer to a complete request
    When a caller gets "/d/1" of "desk.example"
    Then the status is 200 with the seal of the upstream
    And the request names the upstream's start, the service "desk" and the time left

  Scenario Outline: If the upstream <does>, the caller gets <status>
    When the upstream <does>
    And a caller gets "/d/1" of "desk.example"
    Then the status is <status> without a seal

    Examples:
      | does                    | status |
      | answers without a seal  | 502    |
      | has restarted           | 503    |
      | sheds load with proof   | 503    |
      | answers another request | 502    |

  Scenario: Hosts and paths without a route get 404
    When a caller gets "/d/1" of "other.example"
    Then the status is 404 without a seal
    When a caller gets "/d" of "desk.example"
    Then the status is 404 without a seal

  Scenario: A stop first fails readiness, while callers are still served
    When the node is asked to stop
    Then its readiness is 503 while callers are still served
    And the node exits with code 0
