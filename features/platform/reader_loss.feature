Feature: A leaving upstream is known in time though the readers are gone

  Scenario Outline: Both readers of a zone are <gone>, and <after> ms later an upstream <leaves>
    Given 6 nodes that read a store, each beside an upstream of "desk"
    And two of them watch the store
    When both of them are <gone>
    And <after> ms later the upstream of another node <leaves>
    Then no node that goes on uses that upstream 2000 ms later

    Examples:
      | gone      | after | leaves            |
      | killed    | 1000  | drains            |
      | killed    | 0     | drains            |
      | suspended | 1000  | drains            |
      | suspended | 0     | leaves the store  |

  # Entries of a service that is not configured were taken for nodes.
  Scenario: Entries of nodes that do not exist rank before all others
    Given 6 nodes that read a store, each beside an upstream of "desk"
    And 8 entries of a service that is not configured, which rank first
    And two of them watch the store
    When 0 ms later the upstream of another node drains
    Then no node that goes on uses that upstream 2000 ms later

  Scenario: A configuration is in force in time though the readers are gone
    Given 6 nodes that read a store, each beside an upstream of "desk"
    And two of them watch the store
    When both of them are killed
    And 0 ms later a version moves "/d/" away from "desk"
    Then no node that goes on serves "/d/1" 2000 ms later
