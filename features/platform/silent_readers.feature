Feature: Nodes take over in time from readers to which the store is silent

  # A watch without a change is answered after 2 s, so that silence looked like
  # calm for longer than an upstream serves on after it has left.
  Scenario Outline: The store is silent to both readers, and <after> ms later an upstream <leaves>
    Given 6 nodes that read a store by relays, each beside an upstream of "desk"
    And two of them watch the store
    When the store no longer answers both of them
    And <after> ms later the upstream of another node <leaves>
    Then no node that goes on uses that upstream 2000 ms later

    Examples:
      | after | leaves           |
      | 0     | drains           |
      | 100   | drains           |
      | 400   | leaves the store |

  Scenario: The store is silent to both readers, and a configuration follows
    Given 6 nodes that read a store by relays, each beside an upstream of "desk"
    And two of them watch the store
    When the store no longer answers both of them
    And 100 ms later a version moves "/d/" away from "desk"
    Then no node that goes on serves "/d/1" 2000 ms later

  Scenario: A watch that waits notices silence and says so
    Given a store with 3 upstreams and a configuration
    When the source is read
    And a watch of 2000 ms begins
    And the store no longer answers calls
    Then the watch fails within 1200 ms, and the silence has been told

  Scenario: One lost answer is no silence
    Given a store with 3 upstreams and a configuration
    When the source is read
    And a watch of 2000 ms begins
    And the next call is not answered
    And an upstream is removed
    Then the watch ends within 3000 ms
    And 2 upstreams are known, or a configuration of version 8
    And no silence has been told

  Scenario: A watch that waits notices that the store is back from an older copy
    Given a store that names its generation, with 3 upstreams
    When the source is read
    And the store is copied
    And 1 changes are made
    And the source is read
    And a watch of 2000 ms begins
    And the store comes back from the copy, and a configuration of version 8 follows at once
    Then the watch ends within 1000 ms
    And 3 upstreams and version 8 are known
