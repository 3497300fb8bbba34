Feature: Every caller gets the whole answer to its own request

  Scenario: Thousands of distinct requests under one account
    Given a fleet of 4 nodes before "registry-desk"
    When 3000 callers of one account send distinct bodies with equal request ids
    Then every caller has the answer to its own body

  Scenario Outline: A stream is cut in the middle of a body of <length> length
    Given a fleet of 3 nodes and 1 entry before "registry-desk"
    When a caller downloads 50000000 bytes of <length> length through node 4 while the homes are killed
    Then the download is not called whole

    Examples: with a length ahead, and in chunks until the last one
      | length  |
      | stated  |
      | unknown |

  Scenario: Answers that come late belong to nobody
    Given a fleet of 3 nodes before "registry-desk"
    When a caller sends GET "/cultivars/slow?ms=800" to node 1 with the deadline 200 ms
    And callers send 100 lookups to all nodes
    Then every lookup has the whole answer to its own request
