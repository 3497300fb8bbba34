Feature: Ejections are lifted only if the service fails as a whole

  Scenario: Late answers of ejected upstreams are no failure of the service
    Given a service of 6 upstreams, of which 2 are ejected for errors
    When late answers of both report errors, and 1 other upstream has enough outcomes, all good
    Then the first 2 upstreams are ejected, and no other
    And no ejection was lifted

  Scenario: Failing upstreams that answer first are no failure of the service
    Given a service of 6 upstreams without outcomes
    When 2 upstreams fail, 2 have only successes, the others none
    Then the first 2 upstreams are ejected, and no other
    And no ejection was lifted

  Scenario: Ejections are lifted once the other upstreams fail too
    Given a service of 6 upstreams, of which 2 are ejected for errors
    When all upstreams fail
    Then the first 0 upstreams are ejected, and no other

  Scenario: No upstream is ejected while all known ones fail
    Given a service of 6 upstreams without outcomes
    When 3 upstreams fail, 0 have only successes, the others none
    Then the first 0 upstreams are ejected, and no other
