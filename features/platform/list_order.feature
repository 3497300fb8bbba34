Feature: A provisional VM list does not replace one that knows more

  # Removals are held back after an outage. The list of the node that held them
  # back had a later version than that of nodes that had seen the upstream leave.
  Scenario Outline: An upstream that left stays out of use after an outage of one node
    Given a store with 3 upstreams and a configuration
    And a reader that <knows> and follows the store, and a node of another zone
    When the store turns the reader away until entries may expire
    And meanwhile an upstream leaves the store, and another reader sees it
    And the store serves the reader again, and an upstream is changed
    And the reader passes on what it reads
    Then the node lists 2 upstreams
    When the grace period of the reader ends, and it passes on what it reads
    Then the node lists 2 upstreams, one of them changed
    And the reader lists the same

    Examples:
      | knows             |
      | has read all      |
      | has just started  |

  # The list that was read without them replaced that of all other nodes.
  Scenario: A reader that starts after an outage keeps upstreams whose entries expired
    Given a store with 3 upstreams and a configuration
    And a reader that has just started and follows the store, and a node of another zone
    And both follow a list of all upstreams
    When the store turns the reader away until entries may expire
    And all upstreams are removed
    And the store serves the reader again, and an upstream is changed
    And the reader passes on what it reads
    Then the node lists 3 upstreams
    When the grace period of the reader ends, and it passes on what it reads
    Then the node lists 1 upstreams, one of them changed

  Scenario: A change after an outage counts at once while no removal is held back
    Given a store with 3 upstreams and a configuration
    And a reader that has read all and follows the store, and a node of another zone
    When the store turns the reader away until entries may expire
    And the store serves the reader again, and an upstream is changed
    And the reader passes on what it reads
    Then the node lists 3 upstreams, one of them changed
    When an upstream starts to drain
    And the reader passes on what it reads
    Then the node lists 3 upstreams, one of them leaving

  # It compared what it had read with its own last list, not with that in force.
  Scenario Outline: An upstream that joined and left unseen by the next reader goes out of use
    Given a store with 3 upstreams and a configuration
    And a reader that has read all and follows the store, and a node of another zone
    When an upstream joins, and another reader tells both before it is lost
    Then the node lists 4 upstreams
    When that upstream leaves the store
    And <history>
    And the reader passes on what it reads
    Then the node lists 3 upstreams

    Examples:
      | history                        |
      | the store keeps its history    |
      | the store has lost its history |

  # Two nodes that come back at different moments base their lists on one.
  Scenario: A change from a provisional list isn't applied to another one of its version
    Given two nodes with provisional lists of version 4, one of which has an upstream more
    When the other one gets a complete list of version 7 without it
    And it passes the list on
    Then both nodes list the same
