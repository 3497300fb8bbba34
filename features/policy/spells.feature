Feature: A spell of failing is detected after one or two outcomes

  Scenario: Two failures of a busy upstream are enough
    Given an upstream that has answered 50 requests, one every 200 ms
    Then its risk is below 0.05
    When 1 request to it fails
    Then its risk is above 0.1
    And all entries are notified that a spell may have begun
    When 1 request to it fails
    Then its risk is above 0.9

  Scenario: The first outcome is weighed with the long-term share of spells
    Given an upstream without any outcome
    Then its risk is below 0.01
    When 1 request to it fails
    Then its risk is above 0.9

  Scenario: A single failure counts for little after the next successes
    Given an upstream that has answered 50 requests, one every 200 ms
    When 1 request to it fails
    And 2 requests to it succeed
    Then its risk is below 0.1

  Scenario: An upstream that recovers is trusted after a few successes
    Given an upstream that has answered 50 requests, one every 200 ms
    When 5 requests to it fail
    And 4 requests to it succeed
    Then its risk is below 0.1
    And all entries are notified that the spell is over

  Scenario: Old outcomes count for little
    Given an upstream that has answered 50 requests, one every 200 ms
    When 5 requests to it fail
    And 60 s pass
    Then its risk is below 0.35

  Scenario: Work that cannot be repeated avoids a likely failure, but not at any wait
    Given a service with upstreams "well" and "failing"
    When 100 requests that cannot be repeated are routed
    Then none goes to "failing"
    When "well" has a wait of 60 s
    And 100 requests that cannot be repeated are routed
    Then all go to "failing"

  Scenario: Repeatable work waits for a healthy upstream while it can be in time
    Given a service with upstreams "well" and "failing"
    When "well" has a wait of 450 ms
    And 100 requests that can be repeated are routed
    Then none goes to "failing"
    When "well" has a wait of 2 s
    And 100 requests that can be repeated are routed
    Then all go to "failing"

  Scenario: No second copy is sent where it would likely fail
    Given a service with upstreams "well" and "failing"
    Then a second copy may be sent to "well"
    And no second copy may be sent to "failing"

  Scenario: An upstream that was only busy may be chosen again
    Given a service with upstreams "well" and "failing"
    When the home of "well" refuses a request as busy
    And "well" has a wait of 300 ms
    Then it goes to "well" next, and may wait there

  Scenario: An upstream whose home refused the risk is not tried again
    Given a service with upstreams "well" and "failing"
    When the home of "failing" refuses a request as risky
    And "well" has a wait of 30 s
    Then it goes to "well" next, and is redirected if that is busy

  Scenario: An upstream is not avoided because its last report is old
    Given a service with upstreams "near" and "far"
    When "near" was well 20 s ago, and "far" is well now
    And 100 requests that cannot be repeated are routed
    Then between 0 and 40 go to "far"

  Scenario: A share of repeatable work tests whether a spell is over
    Given a service with upstreams "well" and "failing"
    When 2 s pass
    And 200 requests that can be repeated are routed
    Then between 30 and 90 go to "failing"

  Scenario: Large answers stay in the zone
    Given a service with upstreams "near" and "far"
    When "near" has a wait of 200 ms
    And 100 requests of 90000 bytes are routed
    Then none goes to "far"
    When 100 requests of 900 bytes are routed
    Then none goes to "near"

  Scenario: After four refusals for the risk, the next home accepts any risk
    Then attempt 1 of work that cannot be repeated is refused above a risk of 0.2
    And attempt 1 of work that can be repeated is refused above a risk of 0.9
    And attempt 5 of work that cannot be repeated is refused above a risk of 1.0
