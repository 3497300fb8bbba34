Feature: Numbers in headers have bounds, and what is no number counts as missing

  Background:
    Given an upstream with a node, answers echo the request id

  Scenario Outline: The Retry-After "<text>" of an upstream is <ms> ms
    When its answer to a POST on a new connection is "HTTP/1.1 503 Full,X-Not-Run: 1,Retry-After: <text>,Content-Length: 0,,"
    Then the caller gets 503 with ""retry_after_ms": <ms>}"

    Examples: seconds, with a fraction
      | text                     | ms      |
      | 0                        | 0       |
      | 2                        | 2000    |
      | 0.25                     | 250     |
      | 007                      | 7000    |
      | 3600.5                   | 3600000 |
      | 1000000000000000         | 3600000 |
      | 1000000000000000000      | 3600000 |
      | 18446744073709551616     | 3600000 |
      | <400 digits>             | 3600000 |
      | <5000 digits>            | 3600000 |

    Examples: no number
      | text                     | ms      |
      |                          | 100     |
      | -5                       | 100     |
      | +5                       | 100     |
      | inf                      | 100     |
      | infinity                 | 100     |
      | nan                      | 100     |
      | 1e3                      | 100     |
      | 1_0                      | 100     |
      | 0x10                     | 100     |
      | 2.                       | 100     |
      | .5                       | 100     |
      | 1.2.3                    | 100     |
      | 2 s                      | 100     |
      | ²                        | 100     |
      | Wed 21 Oct 2026 07:28:00 | 100     |

  Scenario Outline: The deadline "<text>" of a caller is <what>
    When a caller sends the deadline "<text>"
    Then the caller gets 200 with "ok"
    And the upstream received a deadline of <least> to <most> ms

    Examples:
      | what                  | text                 | least | most  |
      | passed on             | 1500                 | 1     | 1500  |
      | passed on             | 0001500              | 1     | 1500  |
      | over the operation's  | 1000000000000000000  | 8500  | 10000 |
      | over 64 bits          | 18446744073709551616 | 8500  | 10000 |
      | over any bound        | <400 digits>         | 8500  | 10000 |
      | over any bound        | <5000 digits>        | 8500  | 10000 |
      | missing               |                      | 8500  | 10000 |
      | missing, no number    | -5                   | 8500  | 10000 |
      | missing, no number    | +1500                | 8500  | 10000 |
      | missing, no number    | 1_500                | 8500  | 10000 |
      | missing, no number    | 1500.5               | 8500  | 10000 |
      | missing, no number    | 1e3                  | 8500  | 10000 |
      | missing, no number    | inf                  | 8500  | 10000 |
      | missing, no number    | nan                  | 8500  | 10000 |
      | missing, no number    | ²                    | 8500  | 10000 |

  Scenario: The deadline 0 of a caller has passed
    When a caller sends the deadline "0"
    Then the caller gets 504 with "deadline"

  Scenario Outline: The Keep-Alive timeout "<text>" of an upstream <keeps>
    When its answers to two requests are "HTTP/1.1 200 OK,X-Request-Id: <id>,Keep-Alive: <text>,Content-Length: 2,,hi" and, later, "HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,ok"
    Then the caller gets 200 with "ok"
    And the second request came on <which> connection

    Examples:
      | keeps                        | which    | text                         |
      | keeps the connection         | the same | timeout=5                    |
      | keeps the connection         | the same | max=7 timeout=5              |
      | is bounded                   | the same | timeout=1000000000000000000  |
      | is bounded                   | the same | timeout=<400 digits>         |
      | is read whole                | the same | timeout=0000000005           |
      | is missing                   | the same | timeout=-5                   |
      | is missing                   | the same | timeout=inf                  |
      | is missing                   | the same | timeout=5x                   |
      | is missing                   | the same | notimeout=0                  |
      | ends the connection          | another  | timeout=0                    |

  Scenario Outline: A request with <what> is refused
    When a caller sends the raw head "<head>" and "<rest>"
    Then the status line starts with "<status>"

    Examples:
      | what                            | status       | head                                          | rest |
      | a length of more than any bound | HTTP/1.1 413 | Content-Length: 1000000000000000000           | |
      | a length of more than 64 bits   | HTTP/1.1 413 | Content-Length: 18446744073709551616          | |
      | a length of 5000 digits         | HTTP/1.1 400 | Content-Length: <5000 digits>                 | |
      | a length with an underscore     | HTTP/1.1 400 | Content-Length: 1_0                           | |
      | a length with a sign            | HTTP/1.1 400 | Content-Length: +2                            | |
      | a negative length               | HTTP/1.1 400 | Content-Length: -2                            | |
      | a length in other digits        | HTTP/1.1 400 | Content-Length: ²                             | |
      | an empty length                 | HTTP/1.1 400 | Content-Length:                               | |
      | a chunk size with a sign        | HTTP/1.1 400 | Transfer-Encoding: chunked                    | +2,hi,0,, |
      | a negative chunk size           | HTTP/1.1 400 | Transfer-Encoding: chunked                    | -2,hi,0,, |
      | a chunk size with an underscore | HTTP/1.1 400 | Transfer-Encoding: chunked                    | 0_2,hi,0,, |
      | a chunk size that is empty      | HTTP/1.1 400 | Transfer-Encoding: chunked                    | ,hi,0,, |
      | a chunk size with a blank       | HTTP/1.1 400 | Transfer-Encoding: chunked                    | 2 ,hi,0,, |
      | a chunk size with a prefix      | HTTP/1.1 400 | Transfer-Encoding: chunked                    | 0x2,hi,0,, |
      | a chunk size over 64 bits       | HTTP/1.1 400 | Transfer-Encoding: chunked                    | 10000000000000002,hi,0,, |
