Feature: One odd entry or item affects no other

  Scenario Outline: An entry with <field> as <json> is refused alone
    Given a store with 3 upstreams and a configuration
    When an entry with "<field>" as <json> is written under "odd"
    And the source is read
    Then a node that gets the list knows 3 upstreams
    And nodes that get the list from that node know 3 upstreams

    Examples: numbers out of bounds
      | field         | json                                |
      | slots         | 100001                              |
      | slots         | 18446744073709551616                |
      | slots         | 1000000000000000000000000000000     |
      | slots         | -1                                  |
      | slots         | 1e3                                 |
      | seq           | 18446744073709551616                |
      | born          | -1                                  |
      | born          | 9223372036854775807                 |
      | born          | 18446744073709551616                |
      | coldRemaining | "999999999s"                        |
      | coldRemaining | "99999999999999999999s"             |

    Examples: addresses that no VM has
      | field   | json                   |
      | address | "300.1.0.9:8145"       |
      | address | "10.1.0.9:0"           |
      | address | "10.1.0.9:65536"       |
      | address | "10.1.0.9:8145\n"      |
      | address | "10.1.0.09:8145"       |
      | address | "0.0.0.0:8145"         |
      | address | "0.1.0.9:8145"         |
      | address | "224.0.0.1:8145"       |
      | address | "255.255.255.255:8145" |
      | address | "\u0661\u0660.1.0.9:8145" |

    Examples: names and nesting
      | field   | json      |
      | service | "desk\n"  |
      | zone    | "a\n"     |
      | version | null      |
      | extra   | deep      |

  Scenario Outline: An entry under <key> is refused alone
    Given a store with 3 upstreams and a configuration
    When an entry is written under <key>
    And the source is read
    Then a node that gets the list knows 3 upstreams
    And nodes that get the list from that node know 3 upstreams

    Examples:
      | key                   |
      | a key of 200 bytes    |
      | a key with a space    |
      | a key with a newline  |
      | a key with a slash    |
      | a key that ends early |

  Scenario: A start in the far future keeps no later start of the upstream out
    Given a store with 1 upstreams and a configuration
    When the entry of "i-0" is written with "born" as 9007199254740991
    And the source is read
    Then 1 upstreams are known, 0 of them leaving
    When the entry of "i-0" is written with "state" as "draining"
    And the source is read
    Then 1 upstreams are known, 1 of them leaving

  Scenario: A start in the far future does not outlast others at its address
    Given a store with 1 upstreams and a configuration
    When the entry of "odd" is written with "born" as 9007199254740991
    And the entry of "i-1" is written with "slots" as 4
    And the source is read
    Then the upstream at 10.1.0.1 is "i-1"

  Scenario: An earlier start that stays the last word is believed
    Given a store with 1 upstreams and a configuration
    When the source is read
    And an earlier start of the upstream overwrites the entry as draining
    And the source is read until an upstream is leaving
    Then 1 upstreams are known, 1 of them leaving

  Scenario Outline: An entry of another service with <field> as <json> moves no VM
    Given a store with 3 upstreams and a configuration
    When an entry of "ledger" on 10.1.0.1 with "<field>" as <json> is written
    And the source is read
    Then a node that gets the list knows 3 upstreams
    And the VM 10.1.0.1 is in zone "a" with 1 upstream

    Examples: an unknown zone, a stream port and a port for callers
      | field   | json            |
      | zone    | "nowhere"       |
      | address | "10.1.0.1:7000" |
      | address | "10.1.0.1:8147" |

  Scenario: An upstream gets no more work at once than it accepts connections
    Given a home whose upstream accepts 330 connections
    When the list gives its upstream 100000 slots
    Then the home uses 330 slots, and so do the entries
    When the list gives its upstream 3 slots
    Then the home uses 3 slots, and so do the entries

  Scenario Outline: A VM that is <odd> in a list is refused alone
    Given a list of 3 VMs, one of which is <odd>
    When a node gets the list
    Then it knows 2 VMs
    When a node of version 1 gets the list as a change
    Then it knows 2 VMs

    Examples:
      | odd                     |
      | a number                |
      | null                    |
      | without an address      |
      | with an unknown field   |
      | with a port too large   |
      | with a number too large |
      | not Unicode             |

  Scenario Outline: A list that is <odd> leaves the last one in force
    Given a node with a list of 2 VMs
    When the node gets a list that is <odd>
    Then it knows 2 VMs
    When the node gets a list of 3 VMs
    Then it knows 3 VMs

    Examples:
      | odd                       |
      | cut short                 |
      | an object                 |
      | nested too deeply         |
      | made of odd entries alone |

  Scenario: A list that no frame can hold leaves links open
    Given a node with a list of 12000 VMs
    When another node asks it for the list
    Then it gets nothing
    When another node asks it for a list that differs in one VM
    Then it gets the change

  Scenario: A refused entry is logged once for each content
    Given a store with 3 upstreams and a configuration
    When an entry with "slots" as 0 is written under "odd"
    And the source is read
    And the store has lost its history
    And the source is read
    Then 1 line says "entry-refused"
    When an entry with "slots" as -1 is written under "odd"
    And the source is read
    Then 2 lines say "entry-refused"

  Scenario: A VM refused in each list is logged once for each content
    Given a list of 3 VMs, one of which is a number
    When a node gets the list 5 times
    Then 1 line says "entry-refused"

  Scenario: Refused entries are remembered up to a bound
    When 5000 different entries are refused
    Then the log of refused entries remembers at most 1000
