Feature: The soak keeps all promises

  # Promises with a time in them are judged in the soaks by hand, since a busy
  # machine may delay what they wait for.
  Scenario: One short seed, with real processes
    When the soak plays seed 3 with 6 s of faults
    Then it keeps the promise "own-answer"
    And it keeps the promise "at-most-once"
    And it keeps the promise "true-refusal"
    And it keeps the promise "told-as-run"
    And it keeps the promise "config-forward"
    And it keeps the promise "planned-stop"
    And at least 100 requests were served
