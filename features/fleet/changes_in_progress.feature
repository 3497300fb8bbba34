Feature: Changes of what a fleet follows cut no request in progress

  Scenario: Configurations that take away routes, operations, zones, headers, slots and services cut no request in progress
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And open connections "remote" to entry-0
    And open connections "local" to registry-0
    And open connections "download" to entry-0
    When the operators publish the site with "deadline_ms: 2000" changed to "deadline_ms: 9000"
    And the new configuration is in force everywhere
    And request POST "ms=5000" is sent on connections "remote", "local"
    And request GET "bytes=2000000&stall=5000" is sent on connections "download"
    And the operators publish the site with "path_prefix: /cultivars" changed to "path_prefix: /others"
    And the new configuration is in force everywhere
    And the operators publish the site with "register" changed to "enroll"
    And the new configuration is in force everywhere
    And the operators publish the site with "zones: [basel-1, basel-2, basel-3]" changed to "zones: [basel-3]"
    And the new configuration is in force everywhere
    And the operators publish the site with "deadline_ms: 10000" changed to "deadline_ms: 200"
    And the new configuration is in force everywhere
    And the operators publish the site with "# Owned by the platform team in Basel." changed to "headers: {outcome: X-Result, deadline_ms: X-Left-Ms}"
    And the new configuration is in force everywhere
    And the operators publish the site with "slots_per_upstream: 3" changed to "slots_per_upstream: 1"
    And the new configuration is in force everywhere
    And the operators publish the site with "registry-desk" changed to "another-desk"
    And the new configuration is in force everywhere
    Then request "remote" still runs
    And request "local" still runs
    And request "download" still runs
    And requests "remote", "local" have the whole answers to their own requests
    And request "download" gets the whole download

  Scenario: Work that waits for an upstream that leaves the list is not run and called so
    Given 1 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And open connections "a", "b", "c", "d" to entry-0
    When request POST "ms=5000" is sent on connections "a", "b", "c"
    And request POST "ms=60" is sent on connection "d"
    And process registry-0 and its upstream are no longer listed
    Then request "a" still runs
    And request "d" gets status 503 with the outcome "not-run"
    And requests "a", "b", "c" have the whole answers to their own requests
    And request "d" was run 0 times

  Scenario Outline: An upstream that drains and exits before the end of a <method>
    Given 2 nodes and an entry whose stops take 2000 ms, 600 ms of them with an open listener
    And a connection "long" to entry-0
    When request <method> "ms=900" is sent on connection "long"
    And request "long" runs
    And the upstream that runs "long" drains and exits
    Then request "long" gets status <status> with the outcome "<outcome>"
    And request "long" was run <runs> times

    Examples:
      | method | status | outcome | runs |
      | POST   | 502    | unknown | 1    |
      | GET    | 200    | ran     | 2    |
