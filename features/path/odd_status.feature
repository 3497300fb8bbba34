Feature: A status line that is none of HTTP never becomes an answer

  # 000 and 099 counted as interim answers, so that the caller waited until its
  # deadline; 600 and 999 were passed on.

  Background:
    Given an upstream with a node, answers echo the request id

  Scenario Outline: <what>, to a <method> on a <kind> connection
    When its answer to a <method> on a <kind> connection is "<script>"
    Then the caller gets 502 with "unknown"

    Examples: of odd lines
      | what | method | kind | script |
      | three zeros | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | three zeros without words | POST | kept | HTTP/1.1 000,X-Request-Id: <id>,Content-Length: 2,,hi |
      | 099 | POST | kept | HTTP/1.1 099 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | 600 | POST | kept | HTTP/1.1 600 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | 999 | POST | kept | HTTP/1.1 999 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | 1000 | POST | kept | HTTP/1.1 1000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | two digits | POST | kept | HTTP/1.1 20 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a letter | POST | kept | HTTP/1.1 2x0 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | minus | POST | kept | HTTP/1.1 -01 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | plus | POST | kept | HTTP/1.1 +20 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | two spaces | POST | kept | HTTP/1.1  200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a digit joined to the version | POST | kept | HTTP/1.1200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | lower case | POST | kept | http/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | no version | POST | kept | 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |

    Examples: of status 000
      | what | method | kind | script |
      | a length | GET | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, closed | GET | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi<close> |
      | chunks | GET | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,, |
      | no length | GET | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,,hi<close> |
      | a cut body | GET | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 9,,hi<close> |
      | no body | GET | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 0,, |
      | no headers | GET | new | HTTP/1.1 000 Odd,, |
      | an interim answer first | GET | new | HTTP/1.1 100 Continue,,HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | another answer first | GET | new | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hiHTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length | POST | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, closed | POST | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi<close> |
      | chunks | POST | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,, |
      | no length | POST | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,,hi<close> |
      | a cut body | POST | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 9,,hi<close> |
      | no body | POST | new | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 0,, |
      | no headers | POST | new | HTTP/1.1 000 Odd,, |
      | an interim answer first | POST | new | HTTP/1.1 100 Continue,,HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | another answer first | POST | new | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hiHTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, closed | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi<close> |
      | chunks | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,, |
      | no length | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,,hi<close> |
      | a cut body | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 9,,hi<close> |
      | no body | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 0,, |
      | no headers | GET | kept | HTTP/1.1 000 Odd,, |
      | an interim answer first | GET | kept | HTTP/1.1 100 Continue,,HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | another answer first | GET | kept | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hiHTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, closed | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi<close> |
      | chunks | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,, |
      | no length | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,,hi<close> |
      | a cut body | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 9,,hi<close> |
      | no body | POST | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 0,, |
      | no headers | POST | kept | HTTP/1.1 000 Odd,, |
      | an interim answer first | POST | kept | HTTP/1.1 100 Continue,,HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | another answer first | POST | kept | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hiHTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length | GET | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, closed | GET | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi<close> |
      | chunks | GET | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,, |
      | no length | GET | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,,hi<close> |
      | a cut body | GET | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 9,,hi<close> |
      | no body | GET | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 0,, |
      | no headers | GET | remote | HTTP/1.1 000 Odd,, |
      | an interim answer first | GET | remote | HTTP/1.1 100 Continue,,HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | another answer first | GET | remote | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hiHTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length | POST | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, closed | POST | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi<close> |
      | chunks | POST | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,, |
      | no length | POST | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,,hi<close> |
      | a cut body | POST | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 9,,hi<close> |
      | no body | POST | remote | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 0,, |
      | no headers | POST | remote | HTTP/1.1 000 Odd,, |
      | an interim answer first | POST | remote | HTTP/1.1 100 Continue,,HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | another answer first | POST | remote | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hiHTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, on a second connection | GET | kept | <hang> then HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a length, twice | GET | kept | HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi then HTTP/1.1 000 Odd,X-Request-Id: <id>,Content-Length: 2,,hi |

