Feature: Requests in progress outlive signals, pauses and changes, or end with their true outcome

  Scenario: A resend whose first run outlasts the stop is answered as unknown
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connection "first" to entry-0
    And connection "resend" to entry-0
    And a ticket of entry-0
    When POST "ms=5000" is sent with the ticket on connection "first"
    And "first" runs
    And entry-0 gets SIGTERM at once
    And 900 ms have passed since the signal
    And POST "ms=5000" is sent with the ticket on connection "resend"
    Then "resend" gets status 502 with the outcome "unknown"
    And "first" gets status 502 with the outcome "unknown"

  Scenario: An answer that arrives while a stopping node is paused reaches its caller
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connection "late" to entry-0
    When POST "ms=1500" is sent on connection "late"
    And "late" runs
    And entry-0 gets SIGTERM at once
    And 1200 ms have passed since the signal
    And entry-0 does not run for 1000 ms
    Then "late" has the whole answer to its own request

  Scenario: An answer of an upstream that arrives while its stopping node is paused reaches the caller
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connection "late" to entry-0
    When POST "ms=1500" is sent on connection "late"
    And "late" runs
    And registry-0 gets SIGTERM at once
    And 1200 ms have passed since the signal
    And registry-0 does not run for 1000 ms
    Then "late" has the whole answer to its own request

  Scenario: A stop whose signal comes while the node is paused ends in time
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connection "long" to entry-0
    When POST "ms=6000" is sent on connection "long"
    And "long" runs
    And entry-0 gets SIGSTOP, SIGTERM at once
    And 1000 ms have passed since the signal
    And entry-0 continues
    Then entry-0 ends with exit code 0 within 2700 ms of the signal

  Scenario: Configurations that take away routes, operations, zones and services cut no request in progress
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connections "remote" to entry-0
    And connections "local" to registry-0
    And connections "download" to entry-0
    When the operators publish the site with "deadline_ms: 2000" changed to "deadline_ms: 9000"
    And the new configuration is in force everywhere
    And POST "ms=3500" is sent on connections "remote", "local"
    And GET "bytes=2000000&stall=3500" is sent on connections "download"
    And the operators publish the site with "path_prefix: /cultivars" changed to "path_prefix: /others"
    And the new configuration is in force everywhere
    And the operators publish the site with "register" changed to "enroll"
    And the new configuration is in force everywhere
    And the operators publish the site with "zones: [basel-1, basel-2, basel-3]" changed to "zones: [basel-3]"
    And the new configuration is in force everywhere
    And the operators publish the site with "deadline_ms: 10000" changed to "deadline_ms: 200"
    And the new configuration is in force everywhere
    And the operators publish the site with "registry-desk" changed to "another-desk"
    And the new configuration is in force everywhere
    Then "remote" still runs
    And "local" still runs
    And "download" still runs
    And "remote", "local" have the whole answers to their own requests
    And "download" gets the whole download

  Scenario Outline: <vm> gets several signals and a changed file while requests are in progress
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connection "running" to entry-0
    And connection "lookup" to entry-0
    When POST "ms=1500" is sent on connection "running"
    And GET "ms=1500" is sent on connection "lookup"
    And "running" runs
    And "lookup" runs
    And the settings of <vm> are changed
    And <vm> gets <signals> at once
    And 700 ms have passed since the signal
    And <vm> gets <signals> at once
    Then "running" has the whole answer to its own request
    And "lookup" has the whole answer to its own request
    And <vm> ends with exit code 0 within 3000 ms of the signal

    Examples:
      | vm         | signals                         |
      | entry-0    | SIGHUP, SIGTERM, SIGINT, SIGHUP |
      | registry-0 | SIGTERM, SIGHUP, SIGTERM        |

  Scenario: A stop cuts no download whose head has gone out
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connection "stalling" to entry-0
    And connection "endless" to entry-0
    When GET "bytes=2000000&stall=1200" is sent on connection "stalling"
    And GET "bytes=2000000&stall=4000" is sent on connection "endless"
    And "stalling" runs
    And "endless" runs
    And entry-0 gets SIGTERM at once
    Then "stalling" gets the whole download
    And "endless" gets no complete answer

  Scenario: A second copy and a second attempt are finished in a stop
    Given 2 nodes and an entry whose stops take 3000 ms, 600 ms of them with an open listener
    And connection "hedged" to entry-0
    And connection "resent" to entry-0
    When GET "ms=1500" is sent on connection "hedged"
    And "hedged" runs
    And entry-0 gets SIGTERM at once
    And GET "ms=300" is sent on connection "resent"
    And the upstreams lose the answers of "resent"
    Then "hedged" has the whole answer to its own request
    And "resent" has the whole answer to its own request

  Scenario: The calls of a run in a stop are served though their deadline lies beyond the end
    Given 2 nodes and an entry whose stops take 3000 ms, 600 ms of them with an open listener
    And connection "parent" to entry-0
    When POST "ms=2300" is sent on connection "parent"
    And "parent" runs
    And the node beside the upstream that runs "parent" gets SIGTERM
    And 1200 ms have passed since the signal
    And a call of "ms=60" is sent as "call" through the stopping node
    Then "call" has the whole answer to its own request
    And "parent" has the whole answer to its own request

  Scenario: Work that waits for an upstream that leaves the list is not run and called so
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And connections "a", "b", "c", "d" to entry-0
    When POST "ms=4000" is sent on connections "a", "b", "c"
    And POST "ms=60" is sent on connection "d"
    And no upstream is listed any more
    Then "a", "b", "c" have the whole answers to their own requests
    And "d" gets status 503 with the outcome "not-run"
    And "d" was run 0 times
