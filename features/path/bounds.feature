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
      | a header of 70000 bytes   | 431    |
      | headers of 70000 bytes    | 431    |
      | 1100 headers              | 431    |
      | two content lengths       | 400    |
      | a header without a colon  | 400    |
      | a request line of 70000 bytes | 414 |
      | 9 empty lines             | 400    |

  # Callers take such a refusal as final, although their request is in order.
  Scenario Outline: <what> are within the limits
    When a caller sends raw bytes with <what>
    Then the connection ends with a status of 200

    Examples: what is allowed
      | what                             |
      | a header of 10000 bytes          |
      | 200 headers                      |
      | a path and a header of 9000 bytes |
      | 8 empty lines                    |

  Scenario: A caller that stops sending is disconnected
    When a caller connects and sends half a request
    Then its connection is closed

  Scenario: A body above the limit is refused before it is read
    When a caller announces a body of 2000000000 bytes
    Then the connection ends with a status of 413
