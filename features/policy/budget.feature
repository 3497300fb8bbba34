Feature: Resends that load an upstream use up the retry budget

  Scenario: Resends after an upstream's own refusal count as retries
    Given a retry budget of 10 of 100 requests
    When 100 requests are refused by their upstreams
    Then at most 11 of them may be sent again

  Scenario: Redirects after a home's refusal are not charged to it
    Given a retry budget of 10 of 100 requests
    When 100 requests are refused as risky by homes
    Then 100 of them may be sent again

  Scenario: Work that no upstream accepted is resent even without redirect tokens
    Given a retry budget of 10 of 100 requests
    And all redirect tokens are spent
    Then a request whose upstream drains may go to 4 others

  # It was sent to up to four other upstreams, whatever the route allows.
  Scenario Outline: Work that may have run is not resent for free when it ends as <reason>
    Given a retry budget of 10 of 100 requests
    When 100 requests that may have run end as "<reason>"
    Then at most 11 of them may be sent again
    And a request that has used 2 of 2 runs and ends as "<reason>" may not run again

    Examples:
      | reason               |
      | upstream-unreachable |
      | peer-unreachable     |
      | node-leaving         |
      | draining             |
      | no-upstream          |
      | busy                 |
      | risky                |

  Scenario: A route's limit counts runs, not refusals
    Given a retry budget of 10 of 100 requests
    Then a request that has used 1 of 1 runs may not run again
    And a request that has used 1 of 2 runs may run again

  Scenario: Attempts on an overloaded service are limited
    Given a retry budget of 10 of 100 requests
    Then a request that 5 homes have refused as overloaded is given up

  Scenario: Redirects from busy homes are limited
    Given a retry budget of 10 of 100 requests
    Then a request that 6 homes have refused as busy is given up

  Scenario: Homes may use a fifth of the retry budget
    Given a retry budget of 10 of 100 requests
    When a home runs 100 requests, each on a connection that breaks
    Then it resends at most 3 of them
