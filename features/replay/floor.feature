Feature: Healthy upstreams are not left idle while requests are refused

  An upstream in a spell of failing is avoided, so its results do not show when
  the spell is over. If the other upstreams have no capacity left, it must be
  tried again soon enough.

  Scenario Outline: <upstreams> upstreams, <percent> % load, seed <seed>: healthy upstreams are in use while requests are refused
    Given <upstreams> upstreams with spells of <spell> s in which <failures> % of runs fail, <well> s apart, from seed <seed>
    When requests arrive at <percent> % of the capacity of all slots, <again> % of them idempotent
    Then no 2 s window with refused requests has too many idle healthy upstreams

    Examples: more load than the healthy upstreams can serve
      | upstreams | failures | spell | well | percent | again | seed |
      | 30        | 85       | 9     | 21   | 60      | 0     | 1    |
      | 30        | 85       | 9     | 21   | 80      | 0     | 2    |
      | 30        | 85       | 9     | 21   | 100     | 10    | 3    |
      | 30        | 85       | 3     | 7    | 100     | 25    | 4    |
      | 6         | 85       | 9     | 21   | 100     | 25    | 6    |
      | 15        | 85       | 9     | 21   | 100     | 0     | 8    |

  Scenario Outline: Work that cannot be repeated finds upstreams that are well again, at <percent> % of load
    Given 30 upstreams with spells of 9 s in which 85 % of runs fail, 21 s apart, from seed <seed>
    When requests arrive at <percent> % of the capacity of all slots, 0 % of them idempotent
    Then at least <served> % of the requests succeed

    Examples: with a third of the upstreams in a spell, 70 % of the slots are left
      | percent | seed | served |
      | 60      | 1    | 90     |
      | 80      | 2    | 78     |

  # Many entries with little work each: one failed trial is known to one of them.
  Scenario Outline: Upstreams that failed are tried again while requests are refused: <percent> % load, <again> % idempotent
    Given 66 upstreams with spells of 9 s in which 85 % of runs fail, 21 s apart, from seed <seed>
    And 83 entries before them, and 3 slots and 420 ms runs at each
    When requests arrive at <percent> % of the capacity of all slots, <again> % of them idempotent
    Then in no 2 s window with refused requests are too many avoided upstreams left untried

    Examples: more load than the healthy upstreams can serve
      | percent | again | seed |
      | 75      | 25    | 1    |
      | 75      | 25    | 2    |
      | 90      | 25    | 3    |
      | 75      | 10    | 4    |

  # Each entry compares a new upstream with those that it knows.
  Scenario Outline: Upstreams that join get work while requests are refused, at <percent> % of load
    Given 66 upstreams with spells of 9 s in which 85 % of runs fail, 21 s apart, from seed <seed>
    And 83 entries before them, and 3 slots and 420 ms runs at each
    And 10 of the upstreams join after 8 s
    And 4 other upstreams that take 5 times as long
    When requests arrive at <percent> % of the capacity of all slots, 25 % of them idempotent
    Then in no 2 s window after it with refused requests are too many of them left without work

    Examples: more load than the healthy upstreams can serve
      | percent | seed |
      | 75      | 1    |
      | 90      | 2    |

  Scenario Outline: Upstreams that were slow get work again while requests are refused, at <percent> % of load
    Given 66 upstreams with spells of 9 s in which 85 % of runs fail, 21 s apart, from seed <seed>
    And 83 entries before them, and 3 slots and 420 ms runs at each
    And 10 of the upstreams take 5 times as long until 8 s
    When requests arrive at <percent> % of the capacity of all slots, 25 % of them idempotent
    Then in no 2 s window after it with refused requests are too many of them left without work

    Examples: more load than the healthy upstreams can serve
      | percent | seed |
      | 60      | 1    |
      | 75      | 2    |

  # Only the node beside an upstream can reach it.
  Scenario Outline: Upstreams beside nodes that restart get work while requests are refused: <upstreams> upstreams, <percent> % load
    Given <upstreams> upstreams with spells of 9 s in which 0 % of runs fail, 21 s apart, from seed <seed>
    And <entries> entries before them, and 3 slots and 420 ms runs at each
    And all nodes restart, <at once> at a time every 1500 ms
    When requests arrive at <percent> % of the capacity of all slots, 25 % of them idempotent
    Then in no 2 s window with refused requests are too many upstreams left without work

    Examples: more load than the other upstreams can serve
      | upstreams | entries | at once | percent | seed |
      | 23        | 31      | 8       | 40      | 1    |
      | 23        | 31      | 8       | 60      | 1    |
      | 23        | 31      | 8       | 75      | 2    |
      | 23        | 31      | 8       | 90      | 3    |
      | 66        | 83      | 16      | 75      | 4    |
      | 66        | 83      | 16      | 90      | 5    |

  # Rare runs take many times as long as the others, so that an estimate fails.
  Scenario Outline: The end of a home cuts no work that cannot be repeated: <run> ms runs, deadlines of <deadline> ms, seed <seed>
    Given 23 upstreams with spells of 9 s in which 0 % of runs fail, 21 s apart, from seed <seed>
    And 31 entries before them, and 3 slots and <run> ms runs at each
    And 3 % of the runs take 10 times as long
    And all requests have a deadline of <deadline> ms
    And all nodes restart, 8 at a time every 1500 ms
    When requests arrive at 90 % of the capacity of all slots, 33 % of them idempotent
    Then no request that is not idempotent is cut off by the end of a home

    Examples: long runs fit into the time after callers can no longer connect
      | run | deadline | seed |
      | 240 | 8000     | 2    |
      | 240 | 8000     | 8    |
