Feature: A run shows whether its upstream crashed

  Scenario Outline: An upstream <ends> when a request that <may> be repeated comes on a <kind> connection
    Given an upstream that <ends> when a request comes
    And a <kind> connection to it
    When a home sends it a request that <may> be repeated
    Then the run ends as "<reason>", and its outcome is unknown

    Examples: of crashes, which were taken for upstreams never reached
      | ends                   | kind   | may     | reason           |
      | crashes                | new    | may     | upstream-crashed |
      | crashes                | new    | may not | upstream-crashed |
      | crashes                | pooled | may     | upstream-crashed |
      | crashes                | pooled | may not | upstream-crashed |
      | hangs and then crashes | pooled | may     | upstream-crashed |

    Examples: that are no crash
      | ends                   | kind   | may     | reason           |
      | resets the connection  | pooled | may     | upstream-reset   |
      | resets the connection  | new    | may not | upstream-reset   |
      | ends as planned        | pooled | may     | upstream-reset   |
      | ends as planned        | new    | may not | upstream-reset   |

  Scenario: An upstream that ended before a request came is not reached
    Given an upstream that crashes when a request comes
    And a pooled connection to it
    When it crashes before a request comes
    And a home sends it a request that may be repeated
    Then the run ends as "upstream-unreachable", and it did not run

  Scenario: An upstream that closes idle connections runs the request on another
    Given an upstream that closes an idle connection when a request comes
    And a pooled connection to it
    When a home sends it a request that may be repeated
    Then the run has an answer
