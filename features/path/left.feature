Feature: Work is cancelled when its caller has left

  A caller may close its connection at any moment: with unread bytes behind
  its request, before its body is read, or in the middle of its answer. After
  a reset and after an orderly end, its work is cancelled at the upstream.

  Background:
    Given a shared fleet of 3 nodes in front of "archive-ledger"

  Scenario Outline: Work is cancelled for a caller that left by <end> behind <bytes>
    When a caller sends a request with <bytes> to node 1 and leaves by <end>
    Then its work is cancelled at each upstream

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

  Scenario Outline: Work is cancelled for a caller that left by <end> during <part>
    When a caller sends a request to node 1 and leaves by <end> during <part>
    Then its work is cancelled at each upstream

    Examples: size of the answer
      | part                | end     |
      | the answer          | an end  |
      | the answer          | a reset |
      | a large answer      | an end  |
      | a large answer      | a reset |

  Scenario: Work is not started for a caller that left while it was queued
    When callers hold all slots of the fleet
    And a caller sends a request that is queued to node 1 and leaves
    And the callers that hold the slots leave
    Then the queued request was never started

  Scenario: Work is not started for callers that left before their request was read
    When node 1 is paused while 30 callers send a request to it and leave
    Then no upstream starts work for them
