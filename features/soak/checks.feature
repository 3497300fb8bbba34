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
      | a run for another organisation          | organisation    |
      | a run whose upstream got the key        | organisation    |
      | a run with an unknown key               | known-key       |
      | a return to an older configuration      | config-forward  |
      | a node that misses the newest version   | config-in-force |
      | a node that ejects three of four        | floor           |
      | failed requests at the end of the run   | recovery        |
      | a request interrupted by a planned stop | planned-stop    |
      | a planned stop with exit code 1         | planned-stop    |
      | a spare connection closed during a run  | planned-stop    |
      | a run cut off with an answer by a stop  | stop-cut        |
      | a run broken off and refused by a stop  | stop-cut        |
      | a late request cut at the end of a stop | stop-cut        |
      | a request cut too early in a stop       | stop-cut        |
      | an idle run cut at the end of a stop    | stop-cut        |
      | a cut by the stop of another node       | stop-cut        |
      | a cut answer without any bytes of it    | planned-stop    |
      | a late answer cut at the end of a stop  | planned-stop    |
      | a caller kept waiting for a closed end  | planned-stop    |
      | a lookup refused as not run that ran    | true-refusal    |

  Scenario: A request that crosses the close of a spare connection is no violation
    Given evidence of a run without violations
    When the evidence contains a spare connection closed without a run
    Then no checker reports a violation

  Scenario Outline: The end of a stop may cut work that was asked for early
    Given evidence of a run without violations
    When the evidence contains <cut>
    Then no checker reports a violation

    Examples:
      | cut                                                |
      | an early request cut at the end of a stop          |
      | an early request cut by the stop of its upstream   |
      | an answer in part cut at the end of a stop         |

  Scenario: A run that ends with its caller's deadline is no violation
    Given evidence of a run without violations
    When the evidence contains a run that ends with its deadline
    Then no checker reports a violation

  Scenario Outline: Planned work beside a stop excuses no failed request
    Given evidence of a run without violations
    When the evidence contains a failed request during a stop and a <kind>
    Then only the checker "stop-cut" reports a violation

    Examples:
      | kind            |
      | reload          |
      | second signal   |
      | pause           |
      | new version     |
      | leaving upstream |

  Scenario: A request that fails during a stop and another fault is not judged
    Given evidence of a run without violations
    When the evidence contains a failed request during a stop and a crash
    Then no checker reports a violation

  Scenario: The same seed gives the same faults
    Given the plan of seed 7
    Then a second plan of seed 7 is the same
    And the plan of seed 8 is different
    And no two of its faults have the same target at the same time

  Scenario: Stops come in series and overlap, with other signals during them
    Given the plan of planned stops of seed 7
    Then a second plan of planned stops of seed 7 is the same
    And at most half of its nodes stop at the same time
    And each signal of it comes shortly before or during a stop of its node

  Scenario: Work of planned stops has a long tail
    Given 1000 requests for work with a long tail
    Then 5 to 15 percent of them take 1500 to 4500 ms, the others 60 ms
    And no deadline ends before the work, and some requests have none

  Scenario: Each regression seed has a cause
    Then each line of the seeds file has a seed and a cause
