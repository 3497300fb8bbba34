Feature: Signals and stops cut no request in progress

  Scenario: A resend whose first run outlasts the stop is answered as unknown
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "first" to entry-0
    And a connection "resend" to entry-0
    And a ticket of entry-0
    When request POST "ms=5000" is sent with the ticket on connection "first"
    And request "first" runs
    And process entry-0 gets SIGTERM
    And 900 ms have passed since the signal
    And request POST "ms=5000" is sent with the ticket on connection "resend"
    Then request "resend" gets status 502 with the outcome "unknown"
    And request "first" gets status 502 with the outcome "unknown"

  Scenario Outline: <vm> gets several signals and a changed file while requests are in progress
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "running" to entry-0
    And a connection "lookup" to entry-0
    When request POST "ms=1500" is sent on connection "running"
    And request GET "ms=1500" is sent on connection "lookup"
    And request "running" runs
    And request "lookup" runs
    And the settings of <vm> are changed
    And process <vm> gets <signals>
    And 700 ms have passed since the signal
    And process <vm> gets <signals>
    Then request "running" has the whole answer to its own request
    And request "lookup" has the whole answer to its own request
    And process <vm> ends with exit code 0 within 3000 ms of the signal

    Examples:
      | vm         | signals                         |
      | entry-0    | SIGHUP, SIGTERM, SIGINT, SIGHUP |
      | registry-0 | SIGTERM, SIGHUP, SIGTERM        |

  Scenario: A stop cuts no download whose head has gone out
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "stalling" to entry-0
    And a connection "endless" to entry-0
    When request GET "bytes=2000000&stall=1200" is sent on connection "stalling"
    And request GET "bytes=2000000&stall=4000" is sent on connection "endless"
    And request "stalling" runs
    And request "endless" runs
    And process entry-0 gets SIGTERM
    Then request "stalling" gets the whole download
    And request "endless" gets no complete answer

  Scenario: A stop waits for a caller that reads its download slowly
    Given 1 nodes and an entry whose stops take 3500 ms, 600 ms of them with an open listener
    And a connection "reader" to entry-0
    When a download of 12000000 bytes is sent on connection "reader" and read 1300 ms later
    And process entry-0 gets SIGTERM
    Then request "reader" gets the whole download

  # It was cut at the end of the stop, though its upstream had answered long before.
  Scenario: A download that is read on after the stop is delivered by the kernel
    Given 1 nodes and an entry whose stops take 2500 ms, 600 ms of them with an open listener
    And a connection "reader" to entry-0
    When a download of 400000 bytes is sent on connection "reader" and read 4000 ms later
    And process entry-0 gets SIGTERM
    Then request "reader" gets the whole download

  Scenario: A second copy and a second attempt are finished in a stop
    Given 2 nodes and an entry whose stops take 3000 ms, 600 ms of them with an open listener
    And a connection "hedged" to entry-0
    And a connection "resent" to entry-0
    When request GET "ms=1500" is sent on connection "hedged"
    And request "hedged" runs
    And process entry-0 gets SIGTERM
    And request GET "ms=300" is sent on connection "resent"
    And the upstreams lose the answers of "resent"
    Then request "hedged" has the whole answer to its own request
    And request "resent" has the whole answer to its own request

  Scenario: The calls of a run in a stop are served though their deadline lies beyond the end
    Given 2 nodes and an entry whose stops take 3000 ms, 600 ms of them with an open listener
    And a connection "parent" to entry-0
    When request POST "ms=2300" is sent on connection "parent"
    And request "parent" runs
    And the node beside the upstream that runs "parent" gets SIGTERM
    And 1200 ms have passed since the signal
    And a call of "ms=60" is sent as "call" through the stopping node
    Then request "call" has the whole answer to its own request
    And request "parent" has the whole answer to its own request

  # A rare long call that is taken late is cut while its upstream is at work.
  Scenario Outline: A late <method> call that may outlast the stop is refused as not run
    Given 2 nodes and an entry whose stops take 3000 ms, 600 ms of them with an open listener
    And a connection "parent" to entry-0
    When request POST "ms=4500" is sent on connection "parent"
    And request "parent" runs
    And the node beside the upstream that runs "parent" gets SIGTERM
    And 1900 ms have passed since the signal
    And a <method> call of "ms=2000" is sent as "call" through the stopping node
    Then request "call" gets status 503 with the outcome "not-run"
    And request "call" is told to come back
    And request "call" was run 0 times

    Examples:
      | method |
      | POST   |
      | GET    |

  Scenario: A ticket that is forwarded to a silent node is answered at its route's timeout
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "waiting" to entry-0
    And a ticket of registry-0
    When the operators publish the site with "deadline_ms: 10000" changed to "deadline_ms: 1000"
    And the new configuration is in force everywhere
    And process registry-0 gets SIGSTOP
    And request POST "ms=60" is sent with the ticket on connection "waiting"
    Then request "waiting" gets status 504 with the outcome "unknown"
    And 2000 ms have not passed since the signal

  Scenario Outline: A ticket sent to <vm> whose run may outlast the stop of its node is refused as not run
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And 60 quick registrations of "ms=20" were answered by entry-0
    And a connection "keeper" to entry-0
    And a connection "rare" to <vm>
    And a ticket of entry-0
    When request POST "ms=1800" is sent on connection "keeper"
    And request "keeper" runs
    And process entry-0 gets SIGTERM
    And 800 ms have passed since the signal
    And request POST "ms=1500" is sent with the ticket on connection "rare"
    Then request "rare" gets status 503 with the outcome "not-run"
    And request "rare" was run 0 times

    Examples: nodes that get the ticket
      | vm         |
      | entry-0    |
      | registry-0 |

  Scenario: SIGTERM ends a node that is still starting
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    When process entry-0 is killed and restarted
    And the home of entry-0 has started
    And process entry-0 gets SIGTERM, SIGHUP, SIGTERM
    Then process entry-0 ends with exit code 0 within 3500 ms of the signal
