Feature: A node that is behind asks one other node for what it lacks

  Scenario: Sixty neighbours announce one change
    Given a node that has not heard of a change
    When 60 nodes of its zone announce it within 40 ms
    Then it asks 1 of them
    When the answer has come
    And 60 nodes of its zone announce the next within 40 ms
    Then it asks 1 of them

  Scenario: A neighbour that does not answer is given up
    Given a node that has not heard of a change
    When 60 nodes of its zone announce it within 40 ms
    And 500 ms later 60 nodes of its zone announce it within 40 ms
    Then it asks 2 of them

  Scenario: Other zones are asked only if the own zone does not pass it on
    Given a node that has not heard of a change
    When 60 nodes of other zones announce it within 40 ms
    Then it plans 1 question after 300 ms
    When 60 nodes of its zone announce it within 40 ms
    Then it asks 1 of them
    And the planned question is not asked

  Scenario Outline: A list that is <steps> changes behind gets the difference
    Given 60 random changes of a list of 200 VMs with seed 5
    When a node that is <steps> changes behind asks for the list
    Then it gets a difference that makes its list the latest
    And the difference is shorter than the list

    Examples:
      | steps |
      | 1     |
      | 7     |
      | 60    |

  Scenario: A list that nobody knows any more gets the whole one
    Given 90 random changes of a list of 200 VMs with seed 5
    When a node that is 80 changes behind asks for the list
    Then it gets the whole list
