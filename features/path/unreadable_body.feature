Feature: After a body that cannot be read nothing is taken for a request

  Background:
    Given a fleet of 1 nodes in front of "registry-desk"

  # The quoted request was run, or answered, on the connection of the outer one.
  Scenario Outline: <what>
    When the bytes "POST /cultivars/a HTTP/1.1,Host: x,X-Deadline-Ms: 3000,<rest>GET /cultivars/smuggled HTTP/1.1,Host: x,," are sent to node 1
    Then there is one answer, with status <status>
    And the connection is closed, and no upstream ran "smuggled"

    Examples: in chunks
      | what                                | rest                                                        | status |
      | a chunk without a size              | Transfer-Encoding: chunked,,,                               | 400    |
      | a chunk size that is no number      | Transfer-Encoding: chunked,,xyz,                            | 400    |
      | a chunk size of 17 digits           | Transfer-Encoding: chunked,,00000000000000001,a,0,,         | 400    |
      | a chunk that is longer than its size | Transfer-Encoding: chunked,,3,abcX                         | 400    |
      | a trailer without a name            | Transfer-Encoding: chunked,,1,a,0,: b,                      | 400    |
      | a trailer with a blank in its name  | Transfer-Encoding: chunked,,1,a,0,X A: b,                   | 400    |

    Examples: with a length
      | what                                | rest                                                        | status |
      | a body that is too large            | Content-Length: 99999999999,,                               | 413    |
      | a body that waits for a continue    | Expect: 100-continue,X-Ticket: new,Content-Length: 9,,      | 201    |

  Scenario Outline: <what> that is not complete at its deadline
    When the bytes "POST /cultivars/a HTTP/1.1,Host: x,X-Deadline-Ms: 500,<rest>" are sent to node 1 and 1000 ms later "<late>GET /cultivars/smuggled HTTP/1.1,Host: x,,"
    Then there is one answer, with status 504
    And the connection is closed, and no upstream ran "smuggled"

    Examples:
      | what                 | rest                             | late  |
      | a body with a length | Content-Length: 9,,abcde         | fghi  |
      | a chunk              | Transfer-Encoding: chunked,,9,ab | cd    |
      | a chunk size         | Transfer-Encoding: chunked,,9    | ,     |
      | a trailer            | Transfer-Encoding: chunked,,0,X- | A: b, |

  Scenario Outline: A body whose chunks have <what> is refused
    When a caller sends chunks of one byte with <what> to node 1
    Then there is one answer, with status 400
    And the connection is closed, and no upstream ran "smuggled"

    Examples:
      | what                            |
      | extensions of 4000 bytes        |
      | an extension of 9000 bytes      |

  # 43,688 such chunks have more framing than a caller may send without data.
  Scenario: A body in many chunks of one byte arrives whole
    When a caller uploads 100000 bytes in chunks of one byte to node 1
    Then the upload arrived whole

  Scenario Outline: The connection of a body <what> carries the next request
    When the bytes "POST /cultivars/a HTTP/1.1,Host: x,<rest>GET /cultivars/next HTTP/1.1,Host: x,Connection: close,," are sent to node 1
    Then there are 2 answers

    Examples:
      | what               | rest                                                |
      | with a length      | Content-Length: 4,,abcd                             |
      | in chunks          | Transfer-Encoding: chunked,,4,abcd,0,,              |
      | with a trailer     | Transfer-Encoding: chunked,,4;a=b,abcd,0,X-A: b,,   |
      | of an upgrade      | Connection: upgrade,Content-Length: 4,,abcd         |
      | that is not needed | X-Ticket: new,Content-Length: 4,,abcd               |
