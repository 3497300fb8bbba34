Feature: A fleet on the platform lives through odd entries

  Scenario Outline: An entry that is <odd> comes and goes
    Given 3 nodes that read a store, each beside an upstream of "desk"
    When an entry that is <odd> comes
    And upstream 2 leaves the store
    Then all nodes list 2 upstreams and serve requests
    And none goes to upstream 2
    When the odd entry goes
    And upstream 2 is in the store again
    Then all nodes list 3 upstreams and serve requests
    And all nodes run as at the start

    Examples:
      | odd                     |
      | nested too deeply       |
      | with a number too large |
      | with a port too large   |
      | under a long key        |
      | of the far future       |

  Scenario: An item that cannot be read comes and goes
    Given 3 nodes that read a store, each beside an upstream of "desk"
    When the store gives item "servers/i-1" with "revision" as 18446744073709551616
    And upstream 2 leaves the store
    Then all nodes list 2 upstreams and serve requests
    And none goes to upstream 2
    When the store is sound again
    And upstream 2 is in the store again
    Then all nodes list 3 upstreams and serve requests
    And all nodes run as at the start

  # Requests ran under the former service for up to a second.
  Scenario: A service that changes in the settings counts for the next request
    Given 2 nodes that read a store, each beside an upstream of "desk"
    When the settings of node 1 name the service "ledger", without a signal
    And 100 ms later node 1 gets requests
    Then upstreams are told that they come from "ledger"
