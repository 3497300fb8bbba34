Feature: A fleet goes on in time after the platform's return from an older copy

  # Requests reached the upstream for as long as it ran: all nodes kept the list
  # of before, as its version was higher.
  Scenario Outline: An upstream <leaves> after the return
    Given 6 nodes that read a store, each beside an upstream of "desk"
    And the store names its generation
    And two of them watch the store
    When the store comes back from a copy that lacks <lost> changes
    And 3000 ms later the upstream of another node <leaves>
    Then no node that goes on uses that upstream 2000 ms later

    Examples:
      | leaves           | lost |
      | drains           | 4    |
      | leaves the store | 2    |

  # No call failed, and the watches waited behind the change.
  Scenario: A configuration is given the revision that a lost change had
    Given 6 nodes that read a store, each beside an upstream of "desk"
    And the store names its generation
    And two of them watch the store
    When the store comes back from a copy that lacks 1 changes, and a version moves "/d/" away from "desk" at once
    Then no node that goes on serves "/d/1" 2000 ms later

  # It was in use again, since the copy names it as ready.
  Scenario: An upstream that has left before the return stays out of use
    Given 6 nodes that read a store, each beside an upstream of "desk"
    And the store names its generation
    And two of them watch the store
    When the store is copied, and the upstream of another node leaves the store
    And the store comes back from that copy
    Then no node that goes on uses that upstream 2000 ms later
