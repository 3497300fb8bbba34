Feature: Decisions meet their targets on recorded traces

  The traces were recorded from stand-ins under the baseline rules. Each trace
  is replayed with a baseline rule, which must miss at least one bound, and
  with the rules of the site's configuration, which must meet all bounds.

  Scenario Outline: <site>: <trace> is not handled by <baseline>
    When the trace "<trace>" of "<site>" is replayed with "<baseline>"
    Then a bound is not met
    When the trace "<trace>" of "<site>" is replayed with the site's rules
    Then all bounds are met

    Examples: detection and ejection
      | site     | trace         | baseline      |
      | helvetia | gray-error    | detector=none |
      | amakusa  | gray-error    | detector=none |
      | helvetia | gray-slow     | detector=none |
      | amakusa  | gray-slow     | detector=none |
      | helvetia | one-operation | detector=none |
      | amakusa  | one-operation | detector=none |
      | helvetia | flapping      | detector=none |
      | amakusa  | flapping      | detector=none |
      | helvetia | two-together  | detector=none |
      | amakusa  | two-together  | detector=none |

    Examples: the crest of a demand swing
      | site     | trace         | baseline       |
      | helvetia | crest         | admission=fifo |
      | amakusa  | crest         | admission=fifo |

  Scenario Outline: <site>: <trace> is not handled without <mechanism>
    When the trace "<trace>" of "<site>" is replayed without <mechanism>
    Then a bound is not met
    When the trace "<trace>" of "<site>" is replayed with the site's rules
    Then all bounds are met

    Examples: settings that switch a mechanism off
      | site     | trace  | mechanism        |
      | helvetia | poison | a poison limit   |
      | amakusa  | poison | a poison limit   |
      | helvetia | outage | a retry budget   |
      | amakusa  | outage | a retry budget   |
      | helvetia | outage | a healthy floor  |

  Scenario Outline: <site>: no healthy upstream is ejected in <trace>
    When the trace "<trace>" of "<site>" is replayed with the site's rules
    Then all bounds are met

    Examples: traces without a failing upstream to eject
      | site     | trace     |
      | helvetia | steady    |
      | amakusa  | steady    |
      | helvetia | straggler |
      | amakusa  | straggler |
      | helvetia | swing     |
      | amakusa  | swing     |
      | helvetia | silent    |
      | amakusa  | silent    |
      | helvetia | rolling   |
      | amakusa  | rolling   |
      | helvetia | zone-loss |
      | amakusa  | zone-loss |
      | amakusa  | outage    |

  Scenario Outline: <site>: short work does not wait behind <long>
    When "long-work" of "<site>" is replayed with "admission=fifo" and without "<long>"
    Then the p99 wait of "<short>" with "<long>" is above 1.2 times that without
    When "long-work" of "<site>" is replayed with its rules and without "<long>"
    Then the p99 wait of "<short>" with "<long>" is at most 1.2 times that without
    When the trace "long-work" of "<site>" is replayed with the site's rules
    Then all bounds are met

    Examples: a quick lookup beside long work at seven tenths of the capacity
      | site     | long       | short   |
      | helvetia | bundle     | balance |
      | amakusa  | label-file | lookup  |

  Scenario Outline: <site>: wait times are normal two seconds after the crest
    When the trace "crest" of "<site>" is replayed with the site's rules
    Then the p99 wait of "<service>" from 11000 to 14000 ms is at most 1.2 times that from 2000 to 5000 ms

    Examples: the crest ends at 9000 ms
      | site     | service       |
      | helvetia | registry-desk |
      | amakusa  | proofing      |

  Scenario Outline: <site>: wait times are shorter than with <balancer>
    When the trace "swing" of "<site>" is replayed with "balancer=<balancer>"
    And the wait times are recorded
    And the trace "swing" of "<site>" is replayed with the site's rules
    Then no wait time is above the recorded one, and at least one is below it

    Examples: baselines of the registry
      | site     | balancer    |
      | helvetia | round-robin |
      | helvetia | random      |
      | helvetia | two-choices |
      | amakusa  | round-robin |
      | amakusa  | random      |
      | amakusa  | two-choices |

  Scenario Outline: <site>: a hedge overtakes a straggler
    When the trace "straggler" of "<site>" is replayed without retries
    And the p99 latency of short work is recorded
    And the trace "straggler" of "<site>" is replayed with the site's rules
    Then the p99 latency of short work is below the recorded one
    And there are at most 1.1 attempts per request

    Examples: both sites
      | site     |
      | helvetia |
      | amakusa  |

  Scenario: Equal traces and seeds give identical output
    When the command line replays "gray-error" of "helvetia" twice with seed 7
    Then both outputs are equal and not empty

  Scenario Outline: A faulty <what> is rejected
    When the command line replays with a faulty <what>
    Then the exit code is 2
    And the errors contain "<message>"
    And no traceback is printed

    Examples: input of an operator
      | what         | message        |
      | trace        | not a record   |
      | expectation  | measure        |
      | trace file   | cannot be read |
