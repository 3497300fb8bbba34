Feature: Callers that nobody controls end no process

  Background:
    Given a node for at most 40 callers with 4194304 bytes and 1000 ms for a head

  # Connections, heads and answers are within the limits of one request; all of
  # them together end a process on a small VM.
  Scenario Outline: A crowd that sends <bytes> leaves the node alive and small
    When the node gets <bytes> from 160 callers for <duration> ms
    Then an ordinary request is answered while they are there
    And the node used at most 16000000 bytes and 64 descriptors more meanwhile
    When the callers have left
    Then the same process serves an ordinary request

    Examples: what the callers send
      | bytes                   | duration |
      | nothing                 | 1000     |
      | endless headers         | 1000     |
      | endless slow headers    | 1000     |
      | endless empty lines     | 1000     |
      | slow empty lines        | 1000     |
      | an endless request line | 1000     |
      | slow bodies             | 1000     |
      | slow chunked bodies     | 1000     |
      | unread answers          | 3000     |
      | endless requests        | 1000     |
      | endless unknown paths   | 1000     |
      | half a head, then close | 1000     |
      | requests, then close    | 1000     |

  Scenario Outline: A caller that sends <bytes> is disconnected within the time of a head
    When the node gets <bytes> from 1 callers for 0 ms
    Then their connections are closed

    Examples: what the caller sends
      | bytes                |
      | nothing              |
      | endless slow headers |
      | slow empty lines     |

  # Such callers keep a process busy that reads on without waiting.
  Scenario: A caller that reads the answers to endless requests stops nobody else
    When the node gets endless read requests from 1 callers for 1000 ms
    Then an ordinary request is answered while they are there
