Feature: Callers get the true outcome of their requests

  Background:
    Given a fleet of 3 nodes and 1 entry in front of "registry-desk"

  Scenario Outline: A deadline reaches the upstream and ends a <method> there
    When a caller sends <method> "/cultivars/slow?ms=5000" to node 1 with the deadline 300 ms
    Then the status is 504
    And the header "X-Outcome" is "unknown"
    And the upstreams record "/cultivars/slow" as "cancelled"

    Examples: with and without hedging
      | method |
      | GET    |
      | POST   |

  Scenario: A passed deadline has one outcome, whichever side notices it first
    When a caller sends 40 slow lookups to node 1 with the deadline 150 ms
    Then each was answered as "unknown"

  Scenario: Killing a home loses only its own work, with an unknown outcome
    When callers send 6 slow registrations of 1500 ms to node 1
    And node 2 is killed
    Then registrations answered as run were run once
    And registrations answered as not run were not run
    And registrations of unknown outcome ran at most once
    When callers send 60 lookups to the running nodes
    Then every lookup has the whole answer to its own request

  Scenario: SIGTERM cuts no request in progress
    When callers send 6 slow registrations of 1500 ms to node 1
    And node 1 is asked to stop
    Then node 1 exits with 0
    And every registration was answered as run
    And registrations answered as run were run once

  Scenario: A stopping home finishes the work that it runs for other entries
    When callers send 6 slow registrations of 1500 ms to node 4
    And node 1 is asked to stop
    Then node 1 exits with 0
    And every registration was answered as run
    And registrations answered as run were run once

  Scenario: An upstream that fails all its registrations
    When all upstreams change to "fail_share" of "1"
    And a caller sends POST "/cultivars/fails" to node 1
    Then the status is 500
    And the upstreams ran "/cultivars/fails" 1 times

  Scenario: An upload streams to the upstream
    When a caller uploads 20000000 bytes through node 4
    Then the upload arrived whole
    And no node uses more than 64000000 bytes of memory

  Scenario: An upload goes to another home when one is unreachable
    When node 1 is killed
    And a caller uploads 200000 bytes through node 4, 4 times 700 ms apart
    Then all uploads arrived whole

  Scenario: An invalid configuration is refused and the old one stays active
    When the operators publish the text "services: {}" as configuration
    Then node 1 records "config-refused" in its audit trail
    And node 1 follows configuration 1
    When a caller sends GET "/cultivars/rosa-alba" to node 1
    Then the status is 200

  Scenario: A stopping node answers once more on a kept connection
    When a caller sends on a kept connection 1 s after node 2 receives SIGTERM
    Then its answer is whole and asks to close the connection
