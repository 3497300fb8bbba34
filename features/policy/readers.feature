Feature: Readers of the store are back soon after it is

  Scenario: A reader asks a store that was away for long once a second
    Given a reader that knows the list of VMs
    Then it asks again 200 ms after its first failure
    And it asks again 1000 ms after 50 failures

  Scenario: Nodes that know no list ask less often, since all of them do
    Given a reader that knows no list of VMs
    Then it asks again 5000 ms after 50 failures
