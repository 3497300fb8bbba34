Feature: Endless answers end the connection and use little memory of a node

  Scenario Outline: <what> end the connection within <most> bytes
    Given an upstream that sends <what> until it is closed
    When the answer to request "r1" is read
    Then it is no answer
    And at most <most> bytes were received

    Examples:
      | what                           | most    |
      | header lines                   | 100000  |
      | the value of one header        | 100000  |
      | the words beside the status    | 100000  |
      | interim answers                | 100000  |
      | an answer to another request   | 1200000 |
      | answers to other requests      | 100000  |
      | the extension of a chunk       | 100000  |
      | trailers                       | 100000  |

  Scenario: A body that is larger than all of these limits arrives whole
    Given an upstream that sends 20000000 bytes of body
    When the answer to request "r1" is read
    Then its body has 20000000 bytes

  Scenario Outline: Other upstreams serve while some send endless <kind>
    Given a fleet of 6 nodes in front of "registry-desk"
    When upstreams 1 to 2 change to "endless" of "<kind>"
    And callers send 600 lookups to all nodes
    And callers send 120 distinct lookups to node 5
    Then most lookups succeeded
    And no node uses more than 64000000 bytes of memory

    Examples: kinds of endless bytes
      | kind            |
      | header-lines    |
      | interim-answers |

  # A node that keeps such bytes runs out of memory, and ends with all requests.
  Scenario Outline: A node keeps little of <kind> for callers that <read> the answer
    Given a fleet of 2 nodes and 1 entry in front of "registry-desk"
    When upstreams 1 to 2 change to "endless" of "<kind>"
    And 20 callers that <read> the answer send lookups to node 3 for 1500 ms
    Then at least <received> bytes reached the callers
    And no node used more than 64000000 bytes of memory meanwhile
    When upstreams 1 to 2 send answers again
    Then the same processes serve lookups of node 3

    Examples: kinds of endless bytes
      | kind               | read      | received |
      | body               | read      | 1000000  |
      | body               | don't read | 0       |
      | chunk              | read      | 1000000  |
      | chunk              | don't read | 0       |
      | chunks             | read      | 100000   |
      | chunks             | don't read | 0       |
      | bytes-after-answer | read      | 2        |
      | refusal-body       | read      | 1        |
      | header-value       | read      | 1        |
      | status-words       | read      | 1        |
      | foreign-answer     | read      | 1        |
      | trailers           | read      | 1        |
