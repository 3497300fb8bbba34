Feature: Outliers are judged by their recent outcomes

  Scenario: Evidence of earlier failures does not eject an upstream that is healthy now
    Given peers without errors and a run time of 20 ms
    Then an upstream with 0 errors of 8 and old evidence of failures is not suspect
    And an upstream with 2 errors of 8 and new evidence of failures is suspect

  Scenario: Other work is used for a trial if no idempotent work comes
    Given an upstream on trial, of a service with idempotent and other work
    When 20 non-idempotent requests, and no others, arrive within 12 s
    Then at least one of them is sent to the upstream

  Scenario: Idempotent work is preferred for trials
    Given an upstream on trial, of a service with idempotent and other work
    When an idempotent request arrives
    And 20 non-idempotent requests, and no others, arrive within 8 s
    Then none of them is sent to the upstream
