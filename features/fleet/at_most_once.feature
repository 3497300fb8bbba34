Feature: Non-idempotent work runs at most once

  Scenario Outline: <operation> through kills, a pause and a crash
    Given a fleet of 6 nodes in front of "<service>"
    When callers send 1200 requests to "<path>" at 100 per second
    And meanwhile node 2 is killed and started again
    And meanwhile node 3 is paused for 5000 ms
    And meanwhile node 4 is killed and started again
    And meanwhile upstream 5 crashes
    Then no registration ran twice
    And no registration answered as not run was run
    And every registration answered as run was run once
    And at least 800 registrations were answered as run

    Examples: non-idempotent operations of the reference sites
      | operation   | service        | path       |
      | register    | registry-desk  | /cultivars |
      | post a fee  | archive-ledger | /fees      |
      | approve     | proofing       | /approvals |
      | book a slot | dispatch       | /slots     |

  Scenario: A caller resends with its ticket through other nodes
    Given a fleet of 4 nodes in front of "registry-desk"
    When callers with tickets register 300 cultivars, each sent to three nodes
    Then no registration ran twice
    And at least 290 registrations were answered as run

  Scenario: Resends without a ticket can run twice
    Given a fleet of 4 nodes in front of "registry-desk"
    When callers without tickets register 30 cultivars, each sent to three nodes
    Then some registration ran twice

  Scenario: The ticket of an incarnation that has ended is never run
    Given a fleet of 3 nodes in front of "registry-desk"
    When a caller requests a ticket from node 1
    And node 1 is restarted
    And another caller requests a ticket from node 1
    And the caller sends a registration with its ticket to node 2
    Then the status is 409
    And the header "X-Outcome" is "unknown"

  Scenario: A forged ticket is refused
    Given a fleet of 3 nodes in front of "registry-desk"
    When the caller sends a registration with a forged ticket to node 2
    Then the status is 400
    And the header "X-Outcome" is "not-run"
    And node 2 records "ticket-refused" in its audit trail
