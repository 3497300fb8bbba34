Feature: No work goes on for a caller that has left

  A caller may leave at any moment, with bytes behind its request that nobody
  reads, before its body is read, or in the middle of its answer. By a reset
  or an orderly end, its work is broken off at the upstream.

  Background:
    Given a shared fleet of 3 nodes before "archive-ledger"

  Scenario Outline: Work goes on for a caller that left by <end> behind <bytes>
    When a caller sends a request with <bytes> to node 1 and leaves by <end>
    Then its work is broken off at each upstream

    Examples: what stands between the request and the end of the connection
      | bytes                  | end      |
      | nothing                | an end   |
      | nothing                | a reset  |
      | an empty line          | an end   |
      | an empty line          | a reset  |
      | a second request       | an end   |
      | a second request       | a reset  |
      | 20000 bytes            | an end   |
      | 20000 bytes            | a reset  |
      | a large body           | an end   |
      | a large body           | a reset  |
      | a large body in chunks | an end   |
      | a large body in chunks | a reset  |

  Scenario Outline: Work goes on for a caller that left by <end> during <part>
    When a caller sends a request to node 1 and leaves by <end> during <part>
    Then its work is broken off at each upstream

    Examples: how far the answer has come
      | part                | end     |
      | the answer          | an end  |
      | the answer          | a reset |
      | a large answer      | an end  |
      | a large answer      | a reset |

  Scenario: Work is begun for a caller that left while it waited
    When callers hold all slots of the fleet
    And a caller sends a request that waits to node 1 and leaves
    And the callers that hold the slots leave
    Then the request that waited was never begun

  Scenario: Work is begun for callers that left before their request was read
    When node 1 stands still while 30 callers send a request to it and leave
    Then no upstream begins work for them
