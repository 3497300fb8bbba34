Feature: The guarantees hold under a seed of the soak test

  # Guarantees with a time limit are checked only in manual soak runs, since a
  # busy machine may delay what they wait for.
  Scenario: One short seed, with real processes
    When the soak test runs seed 3 with 6 s of faults
    Then the guarantee "own-answer" holds
    And the guarantee "at-most-once" holds
    And the guarantee "true-refusal" holds
    And the guarantee "told-as-run" holds
    And the guarantee "config-forward" holds
    And the guarantee "planned-stop" holds
    And at least 100 requests were served

  Scenario: Planned stops one after the other, while callers keep connections open
    When the soak test runs seed 1 with 18 s of planned stops that have little time
    Then at least 3 nodes were stopped, two of them at the same time
    And the guarantee "own-answer" holds
    And the guarantee "at-most-once" holds
    And the guarantee "true-refusal" holds
    And the guarantee "planned-stop" holds
    And the guarantee "stop-cut" holds
    And at least 100 requests were served
