Feature: An extra answer on a connection is not taken for the next one

  Scenario Outline: With an echoed id, <what>
    Given an upstream with a node, answers echo the request id
    When its answers to two requests are "<first>" and, later, "HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,ok"
    Then the caller gets 200 with "ok"
    And the second request came on <which> connection

    Examples:
      | what                                    | which   | first |
      | a whole answer keeps its connection     | the same | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a refusal ends its connection           | another | HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |
      | a refusal with the id ends its connection | another | HTTP/1.1 503 Full,X-Request-Id: <id>,X-Not-Run: 1,Content-Length: 0,, |
      | a refusal by outcome ends its connection | another | HTTP/1.1 503 Full,X-Outcome: not-run,Content-Length: 0,, |
      | a refusal twice ends its connection     | another | HTTP/1.1 429 Many,X-Not-Run: 1,Content-Length: 0,,HTTP/1.1 429 Many,X-Not-Run: 1,Content-Length: 0,, |
      | an error without id ends its connection | another | HTTP/1.1 500 Error,Content-Length: 2,,no |
      | a success without id ends its connection | another | HTTP/1.1 200 OK,Content-Length: 2,,hi |
      | a refusal behind an answer ends it      | another | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hiHTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |
      | a refusal later on ends it              | another | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi<pause>HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |
      | a part of an answer later on ends it    | another | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi<pause>HTTP/1.1 5 |

  Scenario Outline: Without an echoed id, <what>
    Given an upstream with a node, answers echo no request id
    When its answers to two requests are "<first>" and, later, "HTTP/1.1 200 OK,Content-Length: 2,,ok"
    Then the caller gets 200 with "ok"
    And the second request came on <which> connection

    Examples:
      | what                                    | which   | first |
      | a whole answer keeps its connection     | the same | HTTP/1.1 200 OK,Content-Length: 2,,hi |
      | a refusal ends its connection           | another | HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |
      | a refusal behind an answer ends it      | another | HTTP/1.1 200 OK,Content-Length: 2,,hiHTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |
      | a refusal later on ends it              | another | HTTP/1.1 200 OK,Content-Length: 2,,hi<pause>HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |

  Scenario Outline: <what> before the answer is dropped
    Given an upstream with a node, answers echo the request id
    When its answers to two requests are "HTTP/1.1 200 OK,X-Request-Id: one,Content-Length: 2,,hi" and, later, "<other><pause>HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,ok"
    Then the caller gets 200 with "ok"
    And the second request came on the same connection

    Examples:
      | what                       | other |
      | the last answer once more  | HTTP/1.1 200 OK,X-Request-Id: one,Content-Length: 2,,hi |
      | another request's refusal  | HTTP/1.1 503 Full,X-Request-Id: one,X-Not-Run: 1,Content-Length: 0,, |
      | another request's error    | HTTP/1.1 500 Error,X-Request-Id: one,Content-Length: 0,, |

  Scenario: Two requests of one id do not use one connection
    Given an upstream with a node, answers echo the request id
    When its answers to two requests of one id are "HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi" and, later, "HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,ok"
    Then the caller gets 200 with "ok"
    And the second request came on another connection

  Scenario: Only another request's refusal leaves the outcome unknown
    Given an upstream with a node, answers echo the request id
    When its answer to a POST on a kept connection is "HTTP/1.1 503 Full,X-Request-Id: other,X-Not-Run: 1,Content-Length: 0,,<pause><close>"
    Then the caller gets 502 with "unknown"
    And the request arrived 1 times

  Scenario: A refusal of an earlier copy does not hide a later copy that may have run
    Given an upstream with a node, answers echo the request id
    When its answer to a GET on a kept connection is "<hang> then HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,,"
    Then the caller is not told that the request did not run

  # The 503 of another request, or of none, told the caller that its registration
  # had not run, while it was running.
  Scenario Outline: <what> in the middle of the next request is not its answer
    Given an upstream with a node, answers echo the request id
    When its answer to a POST on a kept connection is "<bytes><pause>HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,ok"
    Then the caller gets 200 with "ok"

    Examples:
      | what                    | bytes |
      | a bare 503              | HTTP/1.1 503 Service Unavailable,Content-Length: 0,, |
      | a bare 429              | HTTP/1.1 429 Many,Content-Length: 0,, |
      | a bare 408              | HTTP/1.1 408 Late,Content-Length: 0,, |
      | a bare error            | HTTP/1.1 500 Error,Content-Length: 2,,no |
      | a bare success          | HTTP/1.1 200 OK,Content-Length: 2,,no |
      | a bare 404 in chunks    | HTTP/1.1 404 No,Transfer-Encoding: chunked,,2,no,0,, |
      | two bare 503            | HTTP/1.1 503 No,Content-Length: 0,,HTTP/1.1 503 No,Content-Length: 0,, |

  Scenario Outline: A refusal without an id proves nothing on a kept connection
    Given an upstream with a node, answers echo the request id
    When its answer to a POST on a kept connection is "<refusal>"
    Then the caller gets 502 with "unknown"
    And the request arrived 1 times

    Examples:
      | refusal |
      | HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,, |
      | HTTP/1.1 503 Full,X-Outcome: not-run,Content-Length: 0,, |

  Scenario: A refusal without an id is believed on a new connection
    Given an upstream with a node, answers echo the request id
    When its answer to a POST on a new connection is "HTTP/1.1 503 Full,X-Not-Run: 1,Content-Length: 0,,"
    Then the caller gets 503 with "not-run"

  Scenario Outline: A <status> without an id or a proof is no promise
    Given an upstream with a node, answers echo the request id
    When its answer to a POST on a new connection is "HTTP/1.1 <status> No,Content-Length: 0,,"
    Then the caller is not told that the request did not run

    Examples:
      | status |
      | 503    |
      | 429    |
      | 421    |
      | 408    |
