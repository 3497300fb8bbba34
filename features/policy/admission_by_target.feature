Feature: The target latency bounds the queueing time

  Scenario: In an overload, requests that are answered are answered in time
    Given 3 slots with the rule "target", work of 200 ms and a target latency of 800 ms
    When 30 requests a second arrive for 6 s
    Then at least 95 of 100 answers are in time
    And at least 80 answers are given
    And no request is refused after it was queued

  Scenario: The rule "deadline" gives late answers in the same overload
    Given 3 slots with the rule "deadline", work of 200 ms and a target latency of 800 ms
    When 30 requests a second arrive for 6 s
    Then fewer than 70 of 100 answers are in time

  Scenario: Urgent work goes first, without starving less urgent work
    Given 3 slots with the rule "target", work of 200 ms and a target latency of 800 ms
    When 12 urgent and 12 other requests a second arrive for 6 s
    Then the urgent ones are answered more often
    And a quarter or more of the others are answered

  Scenario: A refusal says when to retry
    Given 3 slots with the rule "target", work of 200 ms and a target latency of 800 ms
    When 40 requests arrive at once
    Then each refusal asks for a retry after 50 ms or more
    And the retry times are spread

  Scenario: An idle upstream starts work at once, however short the target
    Given 3 slots with the rule "target", work of 200 ms and a target latency of 10 ms
    When 3 requests arrive at once
    Then none is refused
