Feature: The upstream list and the configuration follow the store

  Scenario: All pages are read once, then changes come from watches
    Given a store with 120 upstreams and a configuration
    When the source is read
    Then 120 upstreams and version 7 are known
    When an upstream starts to drain
    And the source is read
    Then 120 upstreams are known, 1 of them leaving
    And 5 calls to the store were made

  Scenario: A removal takes effect at once while the store answers
    Given a store with 3 upstreams and a configuration
    When the source is read
    And an upstream is removed
    And the source is read
    Then 2 upstreams are known

  Scenario: Entries that expired during an outage are not removed at once
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store is down until entries may expire
    And all upstreams are removed
    And the store is up again
    And the source is read
    Then 3 upstreams are known
    When 2 upstreams are registered again
    And the grace period for removals ends
    And the source is read
    Then 2 upstreams are known

  # Its list is newer than those of the readers that the store has served.
  Scenario: A reader that was turned away does not list again what others saw leave
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store is down until entries may expire
    And all upstreams are removed, and the list in force has only 1 of them
    And the store is up again
    And the source is read
    Then 1 upstreams are known

  Scenario: A change withheld from watches is found when history is lost
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store withholds changes from watches
    And a configuration of version 8 is published
    And the source is read
    And the store has lost its history
    And the source is read
    Then 3 upstreams and version 8 are known

  Scenario: An entry of an earlier start does not replace that of a later one
    Given a store with 1 upstreams and a configuration
    When the source is read
    And an earlier start of the upstream overwrites the entry as draining
    And the source is read
    Then 1 upstreams are known, 0 of them leaving

  Scenario: An unreadable entry removes its upstream and no other
    Given a store with 3 upstreams and a configuration
    When the source is read
    And an entry is overwritten with bytes that are not JSON
    And the source is read
    Then 2 upstreams are known

  # The silence counted as an outage: the watch was given up after 4 s, and the
  # removal was held back for 2.2 s more.
  Scenario Outline: <what> while open connections to the store are silent
    Given a store with 3 upstreams and a configuration
    When the source is read
    And a watch of 2000 ms begins
    And open connections to the store go silent
    And <what>
    Then the watch ends within 3000 ms
    And 2 upstreams are known, or a configuration of version 8

    Examples:
      | what                                      |
      | an upstream is removed                    |
      | a configuration of version 8 is published |
