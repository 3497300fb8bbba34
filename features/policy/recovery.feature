Feature: The home of a failing upstream spaces the trials of all entries

  Scenario: One trial is accepted a second after the last failure
    Given the home of an upstream that has just failed 3 times
    When 0.9 s pass since then
    Then it refuses repeatable work as risky
    When 1.1 s pass since then
    Then it accepts repeatable work
    And it refuses repeatable work as risky

  Scenario: A trial that hangs does not hold up the next one
    Given the home of an upstream that has just failed 3 times
    When 1.1 s pass since then
    Then it accepts repeatable work
    When 2.2 s pass since then
    Then it accepts repeatable work

  Scenario: After a success the next trial is accepted at once
    Given the home of an upstream that has just failed 3 times
    When 1.1 s pass since then
    Then it accepts repeatable work
    When that work succeeds
    Then it accepts repeatable work

  Scenario: Entries are told of the first success in a spell
    Given the home of an upstream that has just failed 3 times
    And all entries know of it
    When 1.1 s pass since then
    Then it accepts repeatable work
    When that work fails
    Then nothing is announced to the entries
    When 2.2 s pass since then
    Then it accepts repeatable work
    When that work succeeds
    Then its risk is announced to the entries

  Scenario: Work that accepts any risk is not held back
    Given the home of an upstream that has just failed 3 times
    Then it accepts work that accepts any risk

  Scenario: Work that cannot be repeated is not accepted as a trial
    Given the home of an upstream that has just failed 3 times
    When 1.1 s pass since then
    Then it refuses work that cannot be repeated as risky

  # A home sends its status with each refusal too.
  Scenario: A report without a new outcome does not postpone an entry's trial
    Given an entry that hears of a failure of an upstream
    When the home reports its risk every 300 ms for 1.2 s without a new outcome
    Then a trial of the upstream is due at the entry

  Scenario: A new failure postpones an entry's trial, a success does not
    Given an entry that hears of a failure of an upstream
    When the home reports a new failure after 0.9 s
    And the home reports its risk every 300 ms for 0.6 s without a new outcome
    Then no trial of the upstream is due at the entry
    When the home reports a success
    Then a trial of the upstream is due at the entry

  # The home's notice ends by time, and nothing tells the entries that it ended.
  Scenario: An upstream that stays after it said that it drains gets work again
    Given an entry's router with 2 upstreams
    When the home of upstream 1 says that it drains
    Then upstream 1 gets no work for 4.9 s
    And upstream 1 gets work within 0.5 s

  Scenario: An upstream that goes on draining gets no work
    Given an entry's router with 2 upstreams
    When the home of upstream 1 says that it drains
    Then upstream 1 gets no work for 4.9 s
    When the home of upstream 1 says that it drains
    Then upstream 1 gets no work for 4.9 s
