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

  Scenario: The answer of a ticket goes only to the organisation that used it
    Given a ticket with which "acme" has had work done
    Then "acme" gets the answer again, and "bolt" and callers without a key are refused

  Scenario: Metrics show the largest organisations, and the others as one
    Given answers to 30 organisations, more to each than to the one before
    Then the 20 largest are shown, then the rest of 10 as one

  Scenario: No more than 10000 organisations are counted one by one
    Given answers to 10020 organisations, the first of which gets one more
    Then at most 21 are shown, with 10021 requests

  Scenario: A request without an organisation has the priority of its operation
    Given an entry that knows "acme" of priority 0 and "bolt" without a priority
    When a request of "" for an operation of priority 1 is dispatched
    Then it is submitted with priority -1
