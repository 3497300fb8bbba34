Feature: Callers' requests are limited in size and time

  Background:
    Given a shared fleet of 1 nodes in front of "registry-desk" with a caller timeout of 500 ms

  Scenario Outline: <what> is refused
    When a caller sends raw bytes with <what>
    Then the connection ends with a status of <status>
    When a caller sends GET "/cultivars/rosa-alba" to node 1
    Then the status is 200

    Examples: what exceeds a limit or is malformed
      | what                      | status |
      | a header of 9000 bytes    | 400    |
      | 200 headers               | 400    |
      | two content lengths       | 400    |
      | a header without a colon  | 400    |
      | a request line of 9000 bytes | 414 |

  Scenario: A caller that stops sending is disconnected
    When a caller connects and sends half a request
    Then its connection is closed

  Scenario: A body above the limit is refused before it is read
    When a caller announces a body of 2000000000 bytes
    Then the connection ends with a status of 413
