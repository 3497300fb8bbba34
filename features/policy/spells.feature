Feature: A spell of failing is seen after an outcome or two

  Scenario: Two failures of a busy upstream are enough
    Given an upstream that has done 50 pieces of work, one each 200 ms
    Then its risk is below 0.05
    When 1 piece of work fails
    Then its risk is above 0.1
    And all are told that a spell may have begun
    When 1 piece of work fails
    Then its risk is above 0.9

  Scenario: The first outcome of all tells as much as the share of spells
    Given an upstream of which nothing is known
    Then its risk is below 0.01
    When 1 piece of work fails
    Then its risk is above 0.9

  Scenario: A single failure is forgiven after the next success
    Given an upstream that has done 50 pieces of work, one each 200 ms
    When 1 piece of work fails
    And 2 pieces of work succeed
    Then its risk is below 0.1

  Scenario: An upstream that recovers is cleared after few successes
    Given an upstream that has done 50 pieces of work, one each 200 ms
    When 5 pieces of work fail
    And 4 pieces of work succeed
    Then its risk is below 0.1
    And all are told that the spell is over

  Scenario: What was known long ago counts for little
    Given an upstream that has done 50 pieces of work, one each 200 ms
    When 5 pieces of work fail
    And 60 s pass
    Then its risk is below 0.35

  Scenario: Work that cannot be repeated avoids the risk, within reason
    Given a service with upstreams "well" and "failing"
    When 100 requests that cannot be repeated are placed
    Then none goes to "failing"
    When "well" has a wait of 60 s
    And 100 requests that cannot be repeated are placed
    Then all go to "failing"

  Scenario: Repeatable work waits for a well upstream as long as it is in time
    Given a service with upstreams "well" and "failing"
    When "well" has a wait of 450 ms
    And 100 requests that can be repeated are placed
    Then none goes to "failing"
    When "well" has a wait of 2 s
    And 100 requests that can be repeated are placed
    Then all go to "failing"

  Scenario: A second copy is not sent where it is likely to fail
    Given a service with upstreams "well" and "failing"
    Then a second copy may be sent to "well"
    And no second copy may be sent to "failing"

  Scenario: An upstream that was only busy may be chosen again
    Given a service with upstreams "well" and "failing"
    When a request finds "well" busy
    And "well" has a wait of 300 ms
    Then it goes to "well" next, and may wait there

  Scenario: An upstream that refused the risk is not asked again
    Given a service with upstreams "well" and "failing"
    When a request finds "failing" risky
    And "well" has a wait of 30 s
    Then it goes to "well" next, and is sent on if that is busy

  Scenario: An upstream of which nothing is heard is not feared for it
    Given a service with upstreams "near" and "far"
    When "near" was well 20 s ago, and "far" is well now
    And 100 requests that cannot be repeated are placed
    Then between 0 and 40 go to "far"

  Scenario: A share of repeatable work finds out whether a spell is over
    Given a service with upstreams "well" and "failing"
    When 2 s pass
    And 200 requests that can be repeated are placed
    Then between 30 and 90 go to "failing"

  Scenario: Large answers stay in the zone
    Given a service with upstreams "near" and "far"
    When "near" has a wait of 200 ms
    And 100 requests of 90000 bytes are placed
    Then none goes to "far"
    When 100 requests of 900 bytes are placed
    Then none goes to "near"

  Scenario: Homes refuse a risk until four of them have
    Then attempt 1 of work that cannot be repeated is refused above a risk of 0.2
    And attempt 1 of work that can be repeated is refused above a risk of 0.9
    And attempt 5 of work that cannot be repeated is refused above a risk of 1.0
