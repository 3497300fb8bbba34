Feature: Nodes enforce a quota together while one of them fails

  # Real controllers in one process; their links are stand-ins.
  Background:
    Given 12 nodes that know a quota of 16 per second and a burst of 16

  Scenario: The owner dies in the middle of a window
    When callers send 100 requests per second for 7 s, and after 3 s the owner dies
    Then the quota held, and at least half of it was used
    And another of these nodes is the owner now

  Scenario: The fleet is cut in two
    When callers send 100 requests per second for 7 s, and after 2 s the fleet is cut in two
    Then the quota held, and at least half of it was used

  Scenario: A node starts in the middle of a flood
    When callers send 100 requests per second for 7 s, and after 3 s a node starts anew
    Then the quota held, and at least half of it was used
    And the new node has admitted requests

  Scenario: An entry without links refuses soon, and says when to come back
    When an entry that reaches nobody gets a request
    Then it is refused as not run within 500 ms, with a time to come back

  Scenario: Organisations without a quota pass without a message
    When 1000 requests without organisation, and of an unknown one, come
    Then all of them pass and no message was sent
