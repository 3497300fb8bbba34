Feature: An answer that is cut or malformed is never passed on as whole

  Background:
    Given an upstream with a node, answers echo the request id

  Scenario Outline: <what>, to a <method> on a <kind> connection
    When its answer to a <method> on a <kind> connection is "<script>"
    Then the caller gets no whole success
    And the caller is not told that the request did not run

    Examples: a head that ends too early
      | what                              | method | kind | script |
      | the status line                   | POST   | new  | HTTP/1.1 200 OK<close> |
      | the status line with its end      | POST   | kept | HTTP/1.1 200 OK,<close> |
      | a header name                     | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Le<close> |
      | a length                          | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 1<close> |
      | all headers, no empty line        | POST   | new  | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<close> |
      | all headers, no empty line        | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<close> |
      | all headers, half an empty line   | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<cr><close> |
      | headers without a length          | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,<close> |
      | half an empty line, no length     | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,<cr><close> |
      | all headers, no empty line        | GET    | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<close> |
      | headers without a length, reset   | GET    | new  | HTTP/1.1 200 OK,X-Request-Id: <id>,<reset> |
      | all headers, no empty line        | HEAD   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<close> |
      | half an empty line                | HEAD   | new  | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<cr><close> |
      | a 204 without its empty line      | POST   | kept | HTTP/1.1 204 No Content,X-Request-Id: <id>,<close> |
      | a 304 without its empty line      | GET    | kept | HTTP/1.1 304 Not Modified,X-Request-Id: <id>,<close> |
      | a head after an interim answer    | POST   | new  | HTTP/1.1 100 Continue,,HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<close> |
      | a head after an interim answer    | POST   | kept | HTTP/1.1 103 Early Hints,Link: a,,<pause>HTTP/1.1 200 OK,X-Request-Id: <id>,<close> |
      | only an interim answer            | POST   | kept | HTTP/1.1 100 Continue,,<close> |
      | only an upgrade                   | GET    | kept | HTTP/1.1 101 Switching,Connection: upgrade,Upgrade: x,,<close> |
      | a head after another's answer     | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: other,Content-Length: 2,,hi<pause>HTTP/1.1 200 OK,X-Request-Id: <id>,<close> |
      | a head on a second connection     | GET    | kept | <hang> then HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,<close> |
      | two heads run together            | POST   | kept | HTTP/1.1 200 OK,X-Request-IdHTTP/1.1 200 OK,X-Request-Id: <id>,<close> |

    Examples: a body that ends too early
      | what                              | method | kind | script |
      | no byte of the body               | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,<close> |
      | no byte of the body, later        | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,<pause><close> |
      | a part of the body                | POST   | new  | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 4,,hi<pause><close> |
      | a part of the body, reset         | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 4,,hi<pause><reset> |
      | a body without length, reset      | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,,hi<pause><reset> |
      | no body and no length, reset      | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,,<pause><reset> |
      | a body on a second connection     | GET    | kept | <hang> then HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 4,,hi<close> |
      | a chunk size                      | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2<close> |
      | a chunk extension                 | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2;a=<pause><close> |
      | a chunk                           | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,4,hi<pause><close> |
      | chunks without the last           | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,<pause><close> |
      | chunks without the empty line     | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,<pause><close> |
      | a part of the body, far away      | POST   | remote | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 4,,hi<pause><close> |
      | no byte of the body, far away     | POST   | remote | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 4,,<pause><close> |
      | chunks, far away                  | POST   | remote | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,<pause><reset> |
      | a head, far away                  | POST   | remote | HTTP/1.1 200 OK,X-Request-Id: <id>,<pause><close> |
      | a trailer name                    | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,X-Trai<pause><close> |
      | trailers without the empty line   | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,2,hi,0,X-Trailer: a,<pause><close> |

    Examples: a length or coding that can't be trusted
      | what                              | method | kind | script |
      | two equal lengths                 | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,Content-Length: 2,,hi<close> |
      | two lengths                       | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,Content-Length: 1,,hi<close> |
      | a length beside chunks            | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,Transfer-Encoding: chunked,,2,hi,0,,<close> |
      | a length with a sign              | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: +2,,hi<close> |
      | a length with an underscore       | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 0_2,,hi<close> |
      | a negative length                 | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: -2,,hi<close> |
      | an empty length                   | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: ,,hi<close> |
      | a length of more than 64 bits     | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 18446744073709551618,,hi<close> |
      | a length of 64 bits               | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 18446744073709551615,,hi<pause><close> |
      | a chunk size of more than 64 bits | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,10000000000000002,hi,0,,<close> |
      | a chunk size with a sign          | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,+2,hi,0,,<close> |
      | a chunk size with an underscore   | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,0_2,hi,0,,<close> |
      | a coding that is not known        | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: gzip,,hi<close> |
      | chunks that are coded again       | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: gzip,Transfer-Encoding: chunked,,2,hi,0,,<close> |
      | another version                   | POST   | kept | HTTP/2.0 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi<close> |

  Scenario Outline: <what> is whole, to a <method> on a <kind> connection
    When its answer to a <method> on a <kind> connection is "<script>"
    Then the caller gets 200 with "hi"

    Examples:
      | what                          | method | kind | script |
      | a body with a length          | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a body that ends with it      | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,,hi<pause><close> |
      | a body after interim answers  | POST   | kept | HTTP/1.1 100 Continue,,<pause>HTTP/1.1 103 Hints,Link: a,,HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a body on a second connection | GET    | kept | <hang> then HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,,hi |
      | a body in chunks              | POST   | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,,1,h,<pause>1;a=b,i,0,, |
      | a body with blanks in its length | POST | kept | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length:   2  ,,hi |

  Scenario Outline: <what> has no body
    When its answer to a <method> on a kept connection is "<script>"
    Then the caller gets <status> without a body

    Examples:
      | what             | method | status | script |
      | a HEAD           | HEAD   | 200    | HTTP/1.1 200 OK,X-Request-Id: <id>,Content-Length: 2,, |
      | a 204            | POST   | 204    | HTTP/1.1 204 No Content,X-Request-Id: <id>,, |
      | a 304            | GET    | 304    | HTTP/1.1 304 Not Modified,X-Request-Id: <id>,Content-Length: 2,, |

  Scenario: Trailers leave the headers unchanged
    When its answer to a POST on a kept connection is "HTTP/1.1 200 OK,X-Request-Id: <id>,Transfer-Encoding: chunked,X-Last: a,,2,hi,0,X-Trailer: b,,"
    Then the caller gets 200 with "hi"
    And the caller gets the header "X-Last" of "a"
