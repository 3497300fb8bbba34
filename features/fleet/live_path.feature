Feature: A path is live only if both requests and answers get through

  Scenario Outline: The path to a home is cut <direction> while heartbeats continue
    Given a link to a home behind a relay, both sending heartbeats
    When the path is cut <direction>
    Then a lookup sent on the link is given up as "peer-silent"

    Examples: one direction at a time
      | direction |
      | forward   |
      | backward  |

  Scenario: The other copy was refused and the path of this one is cut
    Given a link to a home behind a relay, both sending heartbeats
    When the path is cut forward
    Then a lookup with a second copy that is refused is given up as "peer-silent"

  Scenario: Other messages on a link stand in for heartbeats
    Given a link to a home behind a relay, both sending heartbeats
    Then a heartbeat is due on the link half a second after the last message

  Scenario Outline: Work that no upstream accepts does not use up the attempts
    Given a retry budget of 3 attempts
    Then work that ended as "<reason>" is resent after <yes> attempts
    And work that ended as "<reason>" is not resent after <no> attempts

    Examples: reasons for which the work did not run
      | reason           | yes | no |
      | peer-unreachable | 4   | 5  |
      | draining         | 4   | 5  |
      | node-leaving     | 4   | 5  |
      | overloaded       | 2   | 3  |

  Scenario Outline: Non-idempotent work is not sent on a path cut <direction>
    Given a link to a home behind a relay, both sending heartbeats
    Then the path is verified for work that is not idempotent
    When the path is cut <direction>
    Then such work is not sent once the verification has expired

    Examples: one direction at a time
      | direction |
      | forward   |
      | backward  |

  Scenario: A node that catches up also waits for peers that it is dialling
    Given a node that has begun to dial its peers
    When it catches up with its peers
    Then it is linked to them and has received their heartbeats
