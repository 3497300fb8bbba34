Feature: Each checker of the soak test finds the violations of its guarantee

  Scenario Outline: A violation is found
    Given evidence of a run without violations
    Then no checker reports a violation
    When the evidence contains <fault>
    Then only the checker "<check>" reports a violation

    Examples:
      | fault                                   | check           |
      | an answer to another request            | own-answer      |
      | a second run of non-idempotent work     | at-most-once    |
      | a run of a request refused as not run   | true-refusal    |
      | an answer without a run                 | told-as-run     |
      | a run at an upstream that left long ago | leaving         |
      | a return to an older configuration      | config-forward  |
      | a node that misses the newest version   | config-in-force |
      | a node that ejects three of four        | floor           |
      | failed requests at the end of the run   | recovery        |
      | a request interrupted by a planned stop | planned-stop    |
      | a planned stop with exit code 1         | planned-stop    |
      | a spare connection closed during a run  | planned-stop    |
      | a run cut off with an answer by a stop  | stop-cut        |

  Scenario: A request that crosses the close of a spare connection is no violation
    Given evidence of a run without violations
    When the evidence contains a spare connection closed without a run
    Then no checker reports a violation

  Scenario: A request that fails during a stop and another fault is not judged
    Given evidence of a run without violations
    When the evidence contains a failed request during a stop and a crash
    Then no checker reports a violation

  Scenario: The same seed gives the same faults
    Given the plan of seed 7
    Then a second plan of seed 7 is the same
    And the plan of seed 8 is different
    And no two of its faults have the same target at the same time

  Scenario: Each regression seed has a cause
    Then each line of the seeds file has a seed and a cause
