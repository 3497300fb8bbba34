Feature: Each checker of the soak finds what it is for

  Scenario Outline: A planted fault is found
    Given evidence of a soak in which all promises are kept
    Then no checker finds anything
    When <fault> is planted
    Then only the checker "<check>" finds something

    Examples:
      | fault                                  | check           |
      | an answer to another request           | own-answer      |
      | a second run of a registration         | at-most-once    |
      | a run of what was refused as not run   | true-refusal    |
      | an answer without a run                | told-as-run     |
      | a run long after its upstream left     | leaving         |
      | a step back to an older configuration  | config-forward  |
      | a node that misses the newest version  | config-in-force |
      | a node that ejects three of four       | floor           |
      | an end in which a tenth is not served  | recovery        |
      | a request cut by a planned stop        | planned-stop    |
      | a planned stop with exit code 1        | planned-stop    |

  Scenario: The same seed gives the same faults
    Given the plan of seed 7
    Then a second plan of seed 7 is the same
    And a plan of seed 8 is another
    And no two faults of it concern the same target at the same time

  Scenario: Each seed that is kept has a cause
    Then each line of the kept seeds is a seed with a cause
