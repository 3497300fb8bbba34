Feature: A node that is behind requests the update from one node at a time

  Scenario: Sixty neighbours announce the same change
    Given a node that does not have the latest change
    When 60 nodes of its zone announce it within 40 ms
    Then it asks 1 of them
    When the answer arrives
    And 60 nodes of its zone announce the next within 40 ms
    Then it asks 1 of them

  Scenario: Another node is asked if the first one does not answer in time
    Given a node that does not have the latest change
    When 60 nodes of its zone announce it within 40 ms
    And 500 ms later 60 nodes of its zone announce it within 40 ms
    Then it asks 2 of them

  Scenario: Other zones are asked only if the change does not arrive within the own zone
    Given a node that does not have the latest change
    When 60 nodes of other zones announce it within 40 ms
    Then it schedules 1 request after 300 ms
    When 60 nodes of its zone announce it within 40 ms
    Then it asks 1 of them
    And the scheduled request is not sent

  Scenario Outline: A node that is <steps> changes behind gets the difference
    Given 60 random changes of a list of 200 VMs with seed 5
    When a node that is <steps> changes behind asks for the list
    Then it gets a difference that makes its list the latest
    And the difference is shorter than the list

    Examples:
      | steps |
      | 1     |
      | 7     |
      | 60    |

  Scenario: A node whose list is too old for a difference gets the whole list
    Given 90 random changes of a list of 200 VMs with seed 5
    When a node that is 80 changes behind asks for the list
    Then it gets the whole list
