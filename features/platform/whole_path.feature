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

  # Such a version was refused, or kept the node busy for seconds.
  Scenario Outline: A configuration with <count> more services is in force in time
    When version 8 adds the route "/new/" to "desk" and <count> services with routes of their own
    Then "/new/1" of "desk.example" is served within 2000 ms
    And callers of "/d/1" are served all the while, each within 500 ms
    And the node uses less than 100000000 bytes of memory

    Examples: up to the largest value that the store takes
      | count |
      | 100   |
      | 1500  |
      | 2700  |

  Scenario: A stop first fails readiness, while callers are still served
    When the node is asked to stop
    Then its readiness is 503 while callers are still served
    And the node exits with code 0
