Feature: Data that the platform publishes is decoded and validated

  Scenario Outline: The duration <text> has <ms> ms
    Then the duration "<text>" has <ms> ms

    Examples:
      | text   | ms   |
      | 1500ms | 1500 |
      | 2.5s   | 2500 |
      | 0ms    | 0    |

  Scenario Outline: <text> is not a duration
    Then the duration "<text>" is refused

    Examples:
      | text |
      | 1500 |
      | -1s  |
      | 1 s  |
      | 1m   |

  Scenario Outline: The version <text> is <number>
    Then the version "<text>" is <number>

    Examples:
      | text     | number |
      | 0000000c | 12     |
      | 00000100 | 256    |

  Scenario Outline: <text> is not a version
    Then the version "<text>" is refused

    Examples:
      | text      |
      | c         |
      | 0000000C  |
      | 0000000g  |

  Scenario: An entry describes an upstream
    When the entry of "i-1" is decoded
    Then it is the upstream "i-1" of "desk" at 10.1.0.9:8145, not leaving
    When the entry of "i-1" is decoded with "state" as "draining"
    Then it is the upstream "i-1" of "desk" at 10.1.0.9:8145, leaving
    When the entry of "i-1" is decoded with "colour" as "blue"
    Then it is the upstream "i-1" of "desk" at 10.1.0.9:8145, not leaving

  Scenario Outline: An entry with <field> as <json> is refused
    When the entry of "i-1" is decoded with "<field>" as <json>
    Then it is refused

    Examples:
      | field         | json                |
      | state         | "sleeping"          |
      | state         | 1                   |
      | service       | null                |
      | service       | ""                  |
      | address       | "10.1.0.9"          |
      | address       | "10.1.0.9:99999"    |
      | address       | "somewhere:80"      |
      | slots         | "3"                 |
      | slots         | 0                   |
      | slots         | -1                  |
      | slots         | 2.5                 |
      | slots         | true                |
      | slots         | 100001              |
      | slots         | 1000000000000000000 |
      | slots         | 18446744073709551616 |
      | address       | "10.1.0.9:+80"      |
      | address       | "10.1.0.9:8_0"      |
      | address       | "10.1.0.9:8٠"       |
      | address       | "1٠.1.0.9:80"       |
      | address       | "10.1.0.9:80\\n"     |
      | address       | "10.1.0.9:0"        |
      | address       | "10.1.0.9:-1"       |
      | born          | -1                  |
      | born          | 9007199254740992    |
      | born          | 18446744073709551616 |
      | coldRemaining | "-1s"               |
      | coldRemaining | "infs"              |
      | coldRemaining | "1_0s"              |
      | coldRemaining | "1٠s"               |
      | coldRemaining | 5                   |
      | coldRemaining | "soon"              |
      | seq           | 1.5                 |
      | born          | "1771376890000"     |
      | zone          | {}                  |

  Scenario: Bytes that are not JSON are refused
    When the bytes "{\"service\":" are decoded as the entry of "i-1"
    Then it is refused

  Scenario: A configuration becomes one of the project's own
    When a configuration with a split route is decoded
    Then its version is 7
    And the project's own configuration checks accept it
    And the route "split" sends 90 of 100 requests to "desk" and 10 to "ledger"
    And the route "split" allows 1500 ms and 2 attempts
    And requests of kind "non_idempotent" must not be repeated
    And requests of kind "download" may be repeated
    And the idle timeout for callers is 15000 ms

  Scenario Outline: A configuration that is <fault> is refused
    When a configuration that is <fault> is decoded
    Then it is refused

    Examples:
      | fault           |
      | cut short       |
      | without version |
      | of another type |

  Scenario: The settings file provides addresses, zones and time limits
    When the settings file of the platform is read
    Then the node is "10-1-0-38" in zone "basel-a"
    And it knows the regions of 3 zones
    And it listens for callers at "10.1.0.38:8147"
    And it stops within its grace period of 6000 ms

  Scenario Outline: With "<field>" as "<text>" in the settings all services get the rule "<rule>"
    When the settings file of the platform is read with "<field>" as "<text>"
    Then all services get the admission rule "<rule>"

    Examples:
      | field           | text                 | rule   |
      | something.new   | 1                    | target |
      | contracts       | base,drain,platform  | target |
      | contracts       | base,pressure        | value  |
      | contracts       | tenants,quota        | value  |
      | zones.basel-c   | basel                | target |
      | zones.basel-c   | jura                 | value  |

  Scenario: A missing address in the settings file is reported
    When the settings file of the platform is read without "listen.outbound"
    Then the problem names "listen.outbound"

  Scenario Outline: <field> as <odd> in the settings file is reported
    When the settings file of the platform is read with "<field>" as "<odd>"
    Then the problem names "<field>"

    Examples:
      | field            | odd              |
      | listen.outbound  | 10.1.0.38:99999  |
      | listen.readyAddr | 10.1.0.38:-1     |
      | platform.address | 10.200.1.7:8e3   |
      | listen.inbound   | 10.1.0.38        |
      | portRange        | 73800000,73      |
      | heartbeat        | -1500ms          |

  Scenario Outline: <odd> as a time between stop and kill is held to a day
    When the settings file of the platform is read with "bounds" as "grace=<odd>"
    Then it stops within its grace period of 86400000 ms

    Examples:
      | odd              |
      | 999999999999999s |
      | 86400001ms       |

  Scenario: An odd seed keeps no node from starting
    When the settings file of the platform is read with "seeds" as "10.1.0.1:99999,10.1.0.2:8146,x"
    Then its seeds are "10.1.0.2:8146"
