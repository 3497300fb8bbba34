Feature: Every caller gets the whole answer to its own request

  Scenario: Thousands of distinct requests under one account
    Given a fleet of 4 nodes in front of "registry-desk"
    When 3000 callers of one account send distinct bodies with equal request ids
    Then every caller receives the answer to its own body

  Scenario Outline: A stream is cut in the middle of a body of <length> length
    Given a fleet of 3 nodes and 1 entry in front of "registry-desk"
    When a caller downloads 50000000 bytes of <length> length through node 4 while the homes are killed
    Then the download is detected as incomplete

    Examples: with Content-Length and with chunked encoding
      | length  |
      | stated  |
      | unknown |

  Scenario: Late answers reach no other caller
    Given a fleet of 3 nodes in front of "registry-desk"
    When a caller sends GET "/cultivars/slow?ms=800" to node 1 with the deadline 200 ms
    And callers send 100 lookups to all nodes
    Then every lookup has the whole answer to its own request
