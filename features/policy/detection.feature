Feature: Outliers are judged by what they do now

  Scenario: Evidence of an earlier failing does not eject an upstream that is well
    Given peers without errors and a run time of 20 ms
    Then an upstream with 0 errors of 8 and old evidence of failing is not suspect
    And an upstream with 2 errors of 8 and fresh evidence of failing is suspect

  Scenario: An ejected upstream waits for good for repeatable work that does not come
    Given an upstream on trial of a service with repeatable and other work
    When 20 requests that cannot be repeated come in 12 s, and no other
    Then one of them tries the upstream

  Scenario: Repeatable work makes the trials where there is any
    Given an upstream on trial of a service with repeatable and other work
    When a repeatable request comes
    And 20 requests that cannot be repeated come in 8 s, and no other
    Then none of them tries the upstream
