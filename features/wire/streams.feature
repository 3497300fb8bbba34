Feature: A malformed or unauthenticated stream is closed without other effects

  Background:
    Given a shared fleet of 2 nodes in front of "registry-desk"

  Scenario Outline: A stranger sends <what>
    When a stranger sends <what> to node 1
    Then the stranger's stream is closed
    And node 1 records "peer-refused" in its audit trail
    When a caller sends GET "/cultivars/rosa-alba" to node 1
    Then the status is 200

    Examples: invalid input of an unauthenticated peer
      | what                     |
      | an oversized frame       |
      | a frame that is not msgpack |
      | an unknown message       |
      | a hello with a wrong key |
      | a request before hello   |

  Scenario: A linked node sends a malformed message
    When a node with a valid key links to node 1 and sends a malformed message
    Then the stranger's stream is closed
    And node 1 records "peer-lost" in its audit trail
    When callers send 40 lookups to all nodes
    Then every lookup has the whole answer to its own request

  Scenario Outline: Decoding refuses <what>
    Then decoding <payload> is refused

    Examples: payloads
      | what                  | payload          |
      | nothing               |                  |
      | a number              | 05               |
      | an empty array        | 90               |
      | an unknown code       | 91cc63           |
      | too few fields        | 9209             |
      | a field of wrong type | 9209a161         |
      | a map                 | 81a16101         |
      | a code of wrong type  | 92a13901         |
      | a huge array          | dd7fffffff       |
