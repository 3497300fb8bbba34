Feature: Requests that two parsers may interpret differently are refused

  Background:
    Given a fleet of 1 nodes in front of "registry-desk"

  Scenario Outline: <what>
    When the bytes "<head>" are sent to node 1
    Then the status line of the answer has <status>
    And the connection is closed, and no upstream ran "smuggled"

    Examples: refused, and the connection closed
      | what                             | head                                                                                                          | status |
      | two lengths                      | POST /cultivars/a HTTP/1.1,Host: x,Content-Length: 4,Content-Length: 40,,GET /cultivars/smuggled HTTP/1.1,Host: x,, | 400 |
      | a length beside chunks           | POST /cultivars/a HTTP/1.1,Host: x,Content-Length: 4,Transfer-Encoding: chunked,,0,,GET /cultivars/smuggled HTTP/1.1,Host: x,, | 400 |
      | a coding that is not known       | POST /cultivars/a HTTP/1.1,Host: x,Transfer-Encoding: gzip,,GET /cultivars/smuggled HTTP/1.1,Host: x,,         | 501    |
      | chunks twice                     | POST /cultivars/a HTTP/1.1,Host: x,Transfer-Encoding: chunked,Transfer-Encoding: chunked,,0,,GET /cultivars/smuggled HTTP/1.1,Host: x,, | 501 |
      | chunks in HTTP/1.0               | POST /cultivars/a HTTP/1.0,Host: x,Transfer-Encoding: chunked,,0,,GET /cultivars/smuggled HTTP/1.1,Host: x,,   | 400    |
      | a length with a sign             | POST /cultivars/a HTTP/1.1,Host: x,Content-Length: +4,,abcdGET /cultivars/smuggled HTTP/1.1,Host: x,,          | 400    |
      | no host                          | GET /cultivars/a HTTP/1.1,,GET /cultivars/smuggled HTTP/1.1,Host: x,,                                          | 400    |
      | two hosts                        | GET /cultivars/a HTTP/1.1,Host: x,Host: y,,GET /cultivars/smuggled HTTP/1.1,Host: x,,                          | 400    |
      | a NUL in a value                 | GET /cultivars/a HTTP/1.1,Host: x,X-A: a<NUL>b,,GET /cultivars/smuggled HTTP/1.1,Host: x,,                        | 400    |
      | a blank before the colon         | GET /cultivars/a HTTP/1.1,Host: x,X-A : b,,GET /cultivars/smuggled HTTP/1.1,Host: x,,                          | 400    |
      | a folded line                    | GET /cultivars/a HTTP/1.1,Host: x,X-A: b, c,,GET /cultivars/smuggled HTTP/1.1,Host: x,,                        | 400    |

  Scenario: A request with an absolute URL as target is served
    When the bytes "GET http://x/cultivars/whole HTTP/1.1,Host: y,Connection: close,," are sent to node 1
    Then the status line of the answer has 200

  Scenario: A request with a truncated head is not served
    When the bytes "GET /cultivars/smuggled HTTP/1.1,Host: x,X-A" are sent to node 1
    Then the connection is closed, and no upstream ran "smuggled"

  Scenario: A request with endless trailers is refused
    When a caller sends endless trailers to node 1
    Then the connection is closed, and no upstream ran "smuggled"
