Feature: A pause of a stopping node cuts no request in progress

  Scenario: An answer that arrives while a stopping node is paused reaches its caller
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "late" to entry-0
    When request POST "ms=1500" is sent on connection "late"
    And request "late" runs
    And process entry-0 gets SIGTERM
    And 1200 ms have passed since the signal
    And process entry-0 is paused for 1000 ms
    Then request "late" has the whole answer to its own request

  Scenario: An answer of an upstream that arrives while its stopping node is paused reaches the caller
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "late" to entry-0
    When request POST "ms=1500" is sent on connection "late"
    And request "late" runs
    And process registry-0 gets SIGTERM
    And 1200 ms have passed since the signal
    And process registry-0 is paused for 1000 ms
    Then request "late" has the whole answer to its own request

  Scenario Outline: A pause of <vm> in the middle of its stop cuts nothing
    Given 1 nodes and an entry whose stops take 3500 ms, 600 ms of them with an open listener
    And a connection "before" to entry-0
    And a connection "beyond" to entry-0
    When request POST "ms=1000" is sent on connection "before"
    And request POST "ms=2200" is sent on connection "beyond"
    And request "before" runs
    And request "beyond" runs
    And process <vm> gets SIGTERM
    And 300 ms have passed since the signal
    And process <vm> is paused for 1300 ms
    Then request "before" has the whole answer to its own request
    And request "beyond" has the whole answer to its own request

    Examples:
      | vm         |
      | entry-0    |
      | registry-0 |

  Scenario: A stop whose signal comes while the node is paused ends in time
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "long" to entry-0
    When request POST "ms=6000" is sent on connection "long"
    And request "long" runs
    And process entry-0 gets SIGSTOP, SIGTERM
    And 1000 ms have passed since the signal
    And process entry-0 continues
    Then process entry-0 ends with exit code 0 within 2700 ms of the signal

  Scenario: A caller that connects while a stopping node is paused is served
    Given 1 nodes and an entry whose stops take 3000 ms, 1000 ms of them with an open listener
    And a connection "new" to entry-0
    When process entry-0 gets SIGTERM
    And 700 ms have passed since the signal
    And process entry-0 is paused while POST "ms=60" with a deadline in the stop is sent on a new connection "new", until 1300 ms after the signal
    Then request "new" has the whole answer to its own request
