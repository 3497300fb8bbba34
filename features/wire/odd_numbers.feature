Feature: Numbers from another node affect at most its link

  Scenario: A linked node sends every message with numbers at their limits
    Given a fleet of 2 nodes in front of "registry-desk"
    When callers send 40 lookups to all nodes
    And a node with a valid key sends node 1 every message with odd numbers
    And callers send 40 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no task of node 1 has failed

  Scenario Outline: After a report with <number>, sound reports count again
    Given an entry that uses 2 upstreams
    When the home of one reports <number> in all fields
    And its home reports soundly a minute later
    Then the entry takes it as idle, like the other

    Examples:
      | number               |
      | 18446744073709551615 |
      | -9223372036854775808 |
      | -1                   |
