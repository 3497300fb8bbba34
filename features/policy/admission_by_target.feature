Feature: Work that waits is bounded by the time in which it is wanted

  Scenario: In an overload all that is answered is answered in time
    Given 3 slots with the rule "target" and work of 200 ms wanted within 800 ms
    When 30 requests a second arrive for 6 s
    Then at least 95 of 100 answers are in time
    And at least 80 answers are given
    And no refusal came after its request had waited

  Scenario: The same overload without the target is answered late
    Given 3 slots with the rule "deadline" and work of 200 ms wanted within 800 ms
    When 30 requests a second arrive for 6 s
    Then less than 70 of 100 answers are in time

  Scenario: Urgent work goes before less urgent work, which is not starved
    Given 3 slots with the rule "target" and work of 200 ms wanted within 800 ms
    When 12 urgent and 12 other requests a second arrive for 6 s
    Then the urgent ones are answered more often
    And a quarter or more of the others are answered

  Scenario: A refusal tells when to come back
    Given 3 slots with the rule "target" and work of 200 ms wanted within 800 ms
    When 40 requests arrive at once
    Then each refusal tells a time of 50 ms or more
    And the times are spread

  Scenario: An idle upstream takes work at once, however short the target
    Given 3 slots with the rule "target" and work of 200 ms wanted within 10 ms
    When 3 requests arrive at once
    Then none is refused
