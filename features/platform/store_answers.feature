Feature: Odd answers of the store affect no more than they must

  Scenario Outline: An item with <field> as <json> hides no other item
    Given a store with 3 upstreams and a configuration
    When the store gives item "servers/i-1" with "<field>" as <json>
    And the source is read
    Then the upstreams <listed> and version 7 are known
    When the store is sound again
    And an upstream starts to drain
    And the source is read
    Then an upstream is leaving

    Examples: numbers that only say when
      | field      | json                   | listed        |
      | revision   | 18446744073709551616   | i-0, i-1, i-2 |
      | revision   | -1                     | i-0, i-1, i-2 |
      | revision   | null                   | i-0, i-1, i-2 |
      | revision   | 4611686018427387900    | i-0, i-1, i-2 |
      | createdRev | 1e400                  | i-0, i-1, i-2 |
      | createdRev | "5"                    | i-0, i-1, i-2 |
      | lease      | []                     | i-0, i-1, i-2 |

    Examples: an item that names no upstream
      | field   | json          | listed   |
      | value   | null          | i-0, i-2 |
      | value   | "!"           | i-0, i-2 |
      | value   | 7             | i-0, i-2 |
      | key     | null          | i-0, i-2 |
      | key     | "servers/\ud800" | i-0, i-2 |
      | deleted | null          | i-0, i-2 |

  Scenario Outline: After an event with <field> as <json>, changes still arrive
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store gives item "servers/i-1" with "<field>" as <json>
    And the entry of "i-1" is written again
    And the source is read until its calls are quiet
    And the store is sound again
    And an upstream starts to drain
    And the source is read
    Then an upstream is leaving

    Examples:
      | field    | json                 |
      | revision | 18446744073709551616 |
      | revision | 4611686018427387900  |
      | revision | -1                   |
      | key      | null                 |
      | value    | "!"                  |

  Scenario Outline: An answer that is <odd> is refused, and following goes on
    Given a store with 3 upstreams and a configuration
    When the source is read
    And the store answers watches with <odd>
    And an upstream starts to drain
    Then the source reads the leaving upstream without a watch

    Examples:
      | odd                     |
      | nested objects          |
      | a revision too large    |
      | a negative revision     |
      | no revision             |
      | a list                  |
      | events that are null    |
      | more bytes than allowed |

  Scenario Outline: Pages that <fault> forever are read a few times
    Given a store with 3 upstreams and a configuration
    When the store's pages <fault> forever
    And the source is read
    Then 3 upstreams and version 7 are known
    And at most 5 calls to the store were made

    Examples:
      | fault  |
      | repeat |
      | empty  |

  Scenario: A range that cannot be read to its end removes no upstream
    Given a store with 120 upstreams and a configuration
    When the source is read
    And the store's pages repeat forever
    And the store has lost its history
    And the source is read
    Then 120 upstreams are known

  Scenario: A change made while pages are read is not lost
    Given a store with 120 upstreams and a configuration
    When an upstream starts to drain while the second page is read
    And the source is read
    And the source is read
    Then 120 upstreams are known, 1 of them leaving

  Scenario: An answer that never ends is given up
    Given a store whose answers never end
    When the source is read from it
    Then the call fails in time
