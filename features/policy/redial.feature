Feature: Entries dial a home that restarts until it is back

  Scenario: A home that refuses connections is dialled at a constant interval
    Given a home that refuses each dial for 12 s
    Then it is dialled at least every 400 ms, and at most 6 times in any second

  Scenario: A home that refuses for longer than a start takes is dialled less often
    Given a home that refuses each dial for 60 s
    Then it is dialled at most once a second after 20 s

  Scenario: A home that does not answer is dialled with a growing interval
    Given a home that answers no dial for 30 s
    Then it is dialled at most once a second after 5 s
    And it is dialled at least every 4000 ms, and at most 4 times in any second

  Scenario: A home that dials this node is dialled back at once
    Given a home that answers no dial for 30 s
    When the home dials this node
    Then it is dialled within 60 ms

  Scenario: Homes that all refuse are dialled within a bound
    Given 60 homes that refuse each dial for 10 s
    Then at most 41 dials are made in any second
    And each home is dialled at least twice

  Scenario: Homes that are all silent are dialled within a bound
    Given 60 homes that answer no dial for 60 s
    Then at most 5 dials are made in any second after the first 20 s
    And each home is dialled at least twice

  Scenario: A home whose new link ends before it is usable is dialled again
    Given a home that is being dialled
    When its link ends
    Then it is dialled within 400 ms
