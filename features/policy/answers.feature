Feature: Each caller gets the whole answer to its own request

  Scenario Outline: <what> is <result>
    Given an upstream's connection that carries "<bytes>"
    When the answer to request "r1" is read
    Then it is <result>
    And the connection is <kept>

    Examples:
      | what                             | bytes                          | result    | kept     |
      | an answer with a length          | id=r1,len=2,hi                 | "hi"      | kept     |
      | an answer in chunks              | id=r1,chunked,hi               | "hi"      | kept     |
      | an answer that ends the connection | id=r1,unframed,hi,end        | "hi"      | not kept |
      | a second answer behind it        | id=r1,len=2,hi;id=r1,len=2,ho  | "hi"      | not kept |
      | a late answer before it          | id=r0,len=2,ho;id=r1,len=2,hi  | "hi"      | not kept |
      | only a late answer               | id=r0,len=2,ho;end             | no answer | not kept |
      | an answer cut in its body        | id=r1,len=5,hi,end             | no answer | not kept |
      | an answer cut by a reset         | id=r1,unframed,hi,reset        | no answer | not kept |
      | chunks without an end            | id=r1,chunkedopen,hi,end       | no answer | not kept |
      | bytes that are no answer         | junk                           | no answer | not kept |
      | bytes behind an answer           | id=r1,len=2,hi;junk            | "hi"      | not kept |
      | an interim answer before it      | interim;id=r1,len=2,hi         | "hi"      | kept     |
      | an answer that closes            | id=r1,close,len=2,hi           | "hi"      | not kept |

  Scenario Outline: An announced length of <bytes> bytes has a bound in the usual size
    Given a service whose answers have 1000 bytes
    When an answer of <bytes> bytes is announced
    Then the usual size is at most <usual> bytes

    Examples:
      | bytes                | usual     |
      | 2000                 | 1100      |
      | 18446744073709551615 | 107375083 |
