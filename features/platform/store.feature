Feature: The list of upstreams and the configuration follow the store

  Scenario: All pages are read once, and changes by watches
    Given a store with 120 upstreams and a configuration
    When the source is read
    Then 120 upstreams and version 7 are known
    When an upstream begins to leave
    And the source is read
    Then 120 upstreams are known, 1 of them leaving
    And 5 calls were made

  Scenario: A removal counts at once while the store answers
    Given a store with 3 upstreams and a configuration
    When the source is read
    And an upstream is removed
    And the source is read
    Then 2 upstreams are known

  Scenario: Entries that lapsed during an outage are not taken for gone at once
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store is down for longer than entries last
    And all upstreams are removed
    And the store is up again
    And the source is read
    Then 3 upstreams are known
    When 2 upstreams are back
    And the time of the hold passes
    And the source is read
    Then 2 upstreams are known

  Scenario: A change that a watch was not told is found when history is gone
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store keeps changes from watches
    And a configuration of version 8 is published
    And the source is read
    And the store has lost its history
    And the source is read
    Then 3 upstreams and version 8 are known

  Scenario: An entry of an earlier start does not replace a later one
    Given a store with 1 upstreams and a configuration
    When the source is read
    And the entry is written anew by an earlier start that leaves
    And the source is read
    Then 1 upstreams are known, 0 of them leaving

  Scenario: An entry that cannot be read names no upstream, the others hold
    Given a store with 3 upstreams and a configuration
    When the source is read
    And an entry is overwritten with bytes that are no JSON
    And the source is read
    Then 2 upstreams are known
