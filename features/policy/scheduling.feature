Feature: A home that was not scheduled does not refuse what it can do

  # Answers that came meanwhile are still in its sockets.
  Scenario: Work that arrived while the home was not scheduled is queued
    Given 3 slots with the rule "deadline", work of 24 ms and a target latency of 800 ms
    And runs of 24 ms on all slots, and no event handled for 140 ms since they began
    When 15 requests are handled before the ends of these runs
    Then none of them is refused

  Scenario: Work that is known to run for long still counts
    Given 3 slots with the rule "deadline", work of 24 ms and a target latency of 800 ms
    And runs of 24 ms on all slots, which have not ended after 140 ms of events
    When 15 requests are handled before the ends of these runs
    Then some of them are refused
