Feature: Outliers are judged by what they do now

  Scenario: Evidence of an earlier failing does not eject an upstream that is well
    Given peers without errors and a run time of 20 ms
    Then an upstream with 0 errors of 8 and old evidence of failing is not suspect
    And an upstream with 2 errors of 8 and fresh evidence of failing is suspect
