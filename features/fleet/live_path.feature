Feature: A path is only live if a request and its answer can both pass

  Scenario Outline: The path to a home is cut <direction> while heartbeats go on
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

  Scenario: What a link carries stands in for heartbeats
    Given a link to a home behind a relay, both sending heartbeats
    Then a heartbeat is due on the link half a second after the last message

  Scenario Outline: Work that nobody takes does not use up the attempts
    Given a retry budget of 3 attempts
    Then work that ended as "<reason>" is resent after <yes> attempts
    And work that ended as "<reason>" is not resent after <no> attempts

    Examples: reasons for which the work did not run
      | reason           | yes | no |
      | peer-unreachable | 4   | 5  |
      | draining         | 4   | 5  |
      | node-leaving     | 4   | 5  |
      | overloaded       | 2   | 3  |

  Scenario Outline: Work that cannot be repeated is not sent on a path cut <direction>
    Given a link to a home behind a relay, both sending heartbeats
    Then the path is verified for work that is not idempotent
    When the path is cut <direction>
    Then such work is not sent once the verification has expired

    Examples: one direction at a time
      | direction |
      | forward   |
      | backward  |

  Scenario: A node that asks its peers waits for those that it is dialling
    Given a node that has begun to dial its peers
    When it catches up with its peers
    Then it is linked to them and has received their heartbeats
