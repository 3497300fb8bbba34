Feature: A stopping node takes only work that it can finish

  Scenario Outline: Work of <work> ms offered <since> ms after the signal <verdict>
    Given a planned stop that ends 5100 ms after its signal
    Then work of <work> ms that is offered <since> ms after the signal <verdict>

    Examples:
      | work | since | verdict  |
      | 900  | 0     | fits     |
      | 900  | 3600  | fits     |
      | 900  | 3800  | does not |
      | 900  | 4900  | does not |
      | 1    | 5090  | does not |
      | 0    | 5100  | does not |
      | 0    | 9000  | does not |
      | 6000 | 0     | does not |

  Scenario Outline: A request of <estimate> ms, at most <bound> ms, read after <read> ms, <verdict> after <since> ms
    Given a planned stop that ends 5100 ms after its signal
    Then a request read <read> ms after the signal, estimated at <estimate> ms and bounded by <bound> ms <verdict> <since> ms after the signal

    Examples: the listener closes after 2600 ms
      | read | estimate | bound | verdict             | since |
      | 0    | 60       | 9000  | is passed on        | 0     |
      | 2600 | 60       | 9000  | is passed on        | 2600  |
      | 2600 | 60       | 9000  | is passed on        | 4500  |
      | 2600 | 60       | 9000  | is not              | 4550  |
      | 2600 | 9000     | 60    | is passed on        | 4500  |
      | 2600 | 9000     | 9000  | is not              | 2600  |
      | 2601 | 60       | 2000  | is not              | 2601  |
      | 2601 | 60       | 1900  | is passed on        | 2601  |
      | 3060 | 60       | 2415  | is not              | 3060  |
      | 3060 | 9000     | 900   | is passed on        | 3060  |
      | 4600 | 60       | 1     | is not              | 4600  |

  # Downloads that were read slowly were cut at the end of the node: the estimate
  # was that of callers who read fast.
  Scenario Outline: A request for a large answer, at most <bound> ms, read after <read> ms, <verdict>
    Given a planned stop that ends 5100 ms after its signal
    Then a request read <read> ms after the signal, estimated at 300 ms, with a large answer and bounded by <bound> ms <verdict>

    Examples: its caller may read until the deadline
      | read | bound | verdict      |
      | 400  | 5378  | is not       |
      | 1600 | 5378  | is not       |
      | 0    | 4500  | is passed on |
      | 1600 | 2500  | is passed on |

  Scenario: One large answer among small ones is remembered for some time
    Given an operation whose answers have 2000 bytes
    Then an answer may be left to the kernel
    When 1 answers of 540000 bytes follow
    And 100 answers of 2000 bytes follow
    Then an answer may not be left to the kernel
    When 100 answers of 2000 bytes follow
    Then an answer may be left to the kernel
    When an answer of unknown length follows
    Then an answer may not be left to the kernel

  # A call that is cut at the end of the node may have run.
  Scenario Outline: A call of <estimate> ms, at most <bound> ms, read after <read> ms, <verdict>
    Given a planned stop that ends 5100 ms after its signal
    Then a call of work beside the node read <read> ms after the signal, estimated at <estimate> ms and bounded by <bound> ms <verdict>

    Examples: the run that makes it may end after the node
      | read | estimate | bound | verdict      |
      | 2601 | 60       | 9000  | is passed on |
      | 2900 | 60       | 9000  | is passed on |
      | 2910 | 60       | 9000  | is not       |
      | 3300 | 400      | 5400  | is not       |
      | 4400 | 60       | 700   | is not       |
      | 3300 | 400      | 1200  | is passed on |

  Scenario: A node that does not stop takes any work
    Given no planned stop
    Then work of 60000 ms that is offered 9000 ms after the signal fits
    And a request read 9000 ms after the signal, estimated at 60000 ms and bounded by 60000 ms is passed on 9000 ms after the signal

  Scenario: Once a stop has ended early no work fits
    Given a planned stop that ends 5100 ms after its signal
    When it ends 3000 ms after its signal
    Then work of 1 ms that is offered 3001 ms after the signal does not

  Scenario: Before any answer the configured run time is the estimate
    Given an operation with an expected run time of 200 ms
    Then the high estimate is 600 ms

  Scenario: The estimate follows the times seen
    Given an operation with an expected run time of 200 ms
    When 40 answers take 900 ms
    Then the high estimate is between 900 and 950 ms

  Scenario: The estimate covers nearly all times that vary
    Given an operation with an expected run time of 20 ms
    When 1000 answers take 100 to 900 ms
    Then at most 1 in 100 further answers exceeds its estimate

  # A home accepts no work if the estimate exceeds the whole stop.
  Scenario: Many answers outweigh a configured run time that is far too long
    Given an operation with an expected run time of 1800 ms
    When 1000 answers take 300 ms
    Then the high estimate is between 300 and 320 ms

  Scenario: A row of quick answers does not make the estimate too low
    Given an operation with an expected run time of 200 ms
    When 40 answers take 5 ms
    Then the high estimate is 600 ms

  Scenario Outline: A stop of 5100 ms whose signal was handled after a pause of <pause> ms counts from <before> ms before that
    Then a stop of 5100 ms whose signal was handled after a pause of <pause> ms counts from <before> ms before that

    Examples: a tenth of the stop may be added to it before the kill
      | pause | before |
      | 0     | 0      |
      | 500   | 0      |
      | 1010  | 500    |
      | 3000  | 2490   |
