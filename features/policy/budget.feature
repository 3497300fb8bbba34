Feature: All second arrivals at upstreams are paid for

  Scenario: Resends after an upstream's own refusal count as retries
    Given a retry budget of 10 of 100 requests
    When 100 requests are refused by their upstreams
    Then at most 11 of them may be sent again

  Scenario: Resends after a refusal of a home are free of it
    Given a retry budget of 10 of 100 requests
    When 100 requests are refused as risky by homes
    Then 100 of them may be sent again

  Scenario: Work that nobody took goes on when all redirects are spent
    Given a retry budget of 10 of 100 requests
    And all redirects are spent
    Then a request whose upstream drains may go to 4 others

  Scenario: A route's bound counts the runs, not the refusals
    Given a retry budget of 10 of 100 requests
    Then a request with 1 run of 1 may not run again
    And a request with 1 run of 2 may run again

  Scenario: A crowded service is not asked without end
    Given a retry budget of 10 of 100 requests
    Then a request that 5 homes have refused as overloaded is given up

  Scenario: Homes resend within a fifth of the share
    Given a retry budget of 10 of 100 requests
    When a home runs 100 requests, each on a connection that breaks
    Then it resends at most 3 of them
