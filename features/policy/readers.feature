Feature: Readers reach the store again soon after an outage

  Scenario: After a long outage, a reader retries once a second
    Given a reader that knows the list of VMs
    Then it retries 200 ms after its first failure
    And it retries 1000 ms after 50 failures

  Scenario: Nodes without a VM list retry less often, since all of them do
    Given a reader that knows no list of VMs
    Then it retries 5000 ms after 50 failures
