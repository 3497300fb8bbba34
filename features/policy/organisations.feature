Feature: The priority of an organisation precedes that of the operation

  Scenario Outline: A request of <organisation> is submitted with priority <priority>
    Given an entry that knows "acme" of priority 0 and "bolt" without a priority
    When a request of "<organisation>" for an operation of priority 1 is dispatched
    Then it is submitted with priority <priority>

    Examples: -1 stands for that of the operation
      | organisation | priority |
      | acme         | 0        |
      | bolt         | -1       |
      | unknown      | -1       |

  Scenario: A request without an organisation has the priority of its operation
    Given an entry that knows "acme" of priority 0 and "bolt" without a priority
    When a request of "" for an operation of priority 1 is dispatched
    Then it is submitted with priority -1
