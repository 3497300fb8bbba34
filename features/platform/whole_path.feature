Feature: A request goes through a node that has the platform's settings only

  Background:
    Given a node on the platform's settings before an upstream of "desk"

  Scenario: The answer is the upstream's, and it was told all it needs
    When a caller gets "/d/1" of "desk.example"
    Then the status is 200 with the seal of the upstream
    And the upstream was told its start, the service "desk" and the time left

  Scenario Outline: An upstream that <does> is told as <status>
    When the upstream <does>
    And a caller gets "/d/1" of "desk.example"
    Then the status is <status> without a seal

    Examples:
      | does                    | status |
      | answers without a seal  | 502    |
      | is another start        | 503    |
      | sheds with a proof      | 503    |
      | answers another request | 502    |

  Scenario: Hosts and paths without a route are told so
    When a caller gets "/d/1" of "other.example"
    Then the status is 404 without a seal
    When a caller gets "/d" of "desk.example"
    Then the status is 404 without a seal

  Scenario: A stop tells readiness first, and serves callers meanwhile
    When the node is asked to stop
    Then its readiness is 503 while callers are still served
    And the node ends with 0
