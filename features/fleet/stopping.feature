Feature: A stopping node finishes what it has taken and refuses the rest

  Background:
    Given a fleet in front of "registry-desk" whose stops take 5100 ms and close the listener after 2600 ms

  Scenario Outline: Kept connections carry <method> with "<query>" until the stopping node has gone
    Given 180 kept connections to the entry, which has answered <method> with "<query>"
    When each sends one such request at a moment of its own until 5.4 s after the entry got SIGTERM
    Then each request that an upstream began has its whole answer
    And each refused request was not run and its connection was closed
    And each request without an answer was not run, and its connection was closed at the end of the process
    And the requests of the first 1 s are served
    And some requests are refused as "node-leaving"

    Examples:
      | method | query                  |
      | GET    | ms=900                 |
      | POST   | ms=900                 |
      | GET    | bytes=200000&stall=900 |

  Scenario Outline: A late <method> of "<slow>" is not cut where "<query>" is usual
    Given 30 kept connections to the entry, which has answered <method> with "<query>"
    And the entry has answered it 150 times more
    And a request of 4500 ms that keeps the entry running
    When one of them sends such a request every 100 ms from 2650 ms after SIGTERM on, and "<slow>" instead in every third of them
    Then each request that an upstream began has its whole answer
    And each refused request was not run and its connection was closed
    And each request without an answer was not run, and its connection was closed at the end of the process
    And the requests whose deadline ends well before the stop are served
    And the request that kept the entry running has its whole answer
    And some requests are refused as "node-leaving"

    Examples: a rare slow one
      | method | query                 | slow                    |
      | POST   | ms=60                 | ms=2500                 |
      | GET    | ms=60                 | ms=2500                 |
      | GET    | bytes=200000&stall=60 | bytes=200000&stall=2500 |

  Scenario Outline: Requests that outlast a stop are answered before it closes their connections: <count>, <entry>
    Given the callers use <entry>
    And <count> kept connections to the entry, which has answered POST with "ms=60"
    When each sends "ms=9000" instead 1000 ms after the entry got SIGTERM
    Then each has an answer, and then its connection is closed
    And each that was begun is told "unknown" and "node-leaving"
    And the entry has ended 5600 ms after its signal

    Examples: a remote home, and one beside the entry
      | count | entry               |
      | 12    | a node of its own   |
      | 12    | the node of a home  |
      | 40    | the node of a home  |

  Scenario: A download whose home goes silent is given up at its deadline
    Given 1 kept connections to the entry, which has answered GET with "bytes=200000&stall=60"
    When one sends "bytes=200000&stall=300" with a deadline of 600 ms, and all homes are paused when half of it has come
    Then its connection ends within 900 ms, its answer incomplete

  Scenario: Requests near the end of a stop do not wait in queues that outlast it
    Given 40 kept connections to the entry, which has answered POST with "ms=900"
    When each sends one such request 2500 ms after the entry got SIGTERM
    Then each refused request was not run and its connection was closed
    And every request has an answer, and each that an upstream began its whole one

  Scenario: A body that is complete after the listener was closed is decided by its deadline
    Given 1 kept connections to the entry, which has answered POST with "ms=60"
    And a request of 4500 ms that keeps the entry running
    When one sends half of the body of "ms=2500" 2400 ms after SIGTERM and the rest 3600 ms after it
    Then it gets status 503 with the outcome "not-run"
    And it was not run

  Scenario: A body that is still arriving when the time is over is refused as not run
    Given 1 kept connections to the entry, which has answered POST with "ms=900"
    When one sends half of its body before the entry gets SIGTERM
    Then it gets status 503 with the outcome "not-run"
    And it was not run

  Scenario: A stopping node issues no ticket
    Given 1 kept connections to the entry, which has answered POST with "ms=900"
    When the entry gets SIGTERM
    And a ticket is asked for on the kept connection
    Then it gets status 503 with the outcome "not-run"

  Scenario: The run of a ticket is finished though another entry waits for it
    When a request of 4000 ms with a ticket of the entry is sent to node 1
    And the entry gets SIGTERM
    Then it gets status 200 with the outcome "ran"

  Scenario: An upstream that runs a request can call through its node
    When upstream 1 runs a request of 4500 ms for another entry
    And node 1 gets SIGTERM
    Then a call of that run to node 1 is served 2800 ms later
    And a call of that run to node 1 is refused as not run 3000 ms later
    And a request of 2000 ms on another new connection to node 1 is refused as not run

  Scenario: Runs at an upstream that is no longer listed are finished
    When upstream 1 runs a request of 4500 ms for another entry
    And node 1 gets SIGTERM
    And upstream 1 is no longer listed
    Then the other entry gets the answer of each run

  Scenario: A stopping entry forwards no ticket whose run may outlast it
    Given 1 kept connections to the entry, which has answered POST with "ms=900"
    When the entry gets SIGTERM
    And a request of 6000 ms with a ticket of node 1 is sent on the kept connection
    Then it gets status 502 with the outcome "unknown"
    And it was not run

  Scenario: A resend with a ticket is not called unrun because its body is late
    Given 1 kept connections to the entry, which has answered POST with "ms=900"
    When one sends half of its body with a ticket of node 1 before the entry gets SIGTERM
    Then it gets status 502 with the outcome "unknown"
    And it was not run
