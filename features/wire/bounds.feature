Feature: Numbers in messages between nodes have bounds

  Scenario Outline: A message "<kind>" whose <field> is <number> is <result>
    When a message "<kind>" has the <field> <number>
    Then it is decoded as <result>

    Examples: durations
      | kind           | field          | number               | result    |
      | Submit         | deadline_ms    | 0                    | 0         |
      | Submit         | deadline_ms    | 86400000             | 86400000  |
      | Submit         | deadline_ms    | 1000000000000000000  | 86400000  |
      | Submit         | deadline_ms    | 18446744073709551615 | 86400000  |
      | Submit         | deadline_ms    | -1                   | malformed |
      | TicketSubmit   | deadline_ms    | 1000000000000000000  | 86400000  |
      | TicketSubmit   | deadline_ms    | -1                   | malformed |
      | Refusal        | retry_after_ms | 0                    | 0         |
      | Refusal        | retry_after_ms | 1000000000000000000  | 86400000  |
      | Refusal        | retry_after_ms | -5000                | malformed |
      | UpstreamStatus | wait_ms        | 1000000000000000000  | 86400000  |
      | UpstreamStatus | wait_ms        | -1                   | malformed |
      | UpstreamStatus | run_ms         | -1                   | malformed |
      | UpstreamStatus | median_ms      | -1                   | malformed |
      | UpstreamStatus | least_ms       | -1                   | malformed |
      | UpstreamStatus | avoid_ms       | 1000000000000000000  | 86400000  |
      | UpstreamStatus | avoid_ms       | -1                   | malformed |
      | CrashReport    | age_ms         | 1000000000000000000  | 86400000  |
      | CrashReport    | age_ms         | -1                   | malformed |

    Examples: other numbers
      | kind           | field           | number               | result    |
      | Submit         | body_bytes      | -1                   | -1        |
      | Submit         | body_bytes      | -2                   | malformed |
      | Submit         | risk_limit      | 1000                 | 1000      |
      | Submit         | risk_limit      | 1001                 | malformed |
      | Submit         | risk_limit      | -1                   | malformed |
      | Submit         | priority        | -1                   | -1        |
      | Submit         | priority        | 1000                 | 1000      |
      | Submit         | priority        | -2                   | malformed |
      | Submit         | request_id      | -1                   | malformed |
      | Submit         | fingerprint     | 18446744073709551615 | 18446744073709551615 |
      | Credit         | byte_count      | 0                    | 0         |
      | Credit         | byte_count      | -1                   | malformed |
      | Head           | status          | 200                  | 200       |
      | Head           | status          | 999                  | 999       |
      | Head           | status          | 0                    | malformed |
      | Head           | status          | 100                  | malformed |
      | Head           | status          | 1000                 | malformed |
      | Head           | status          | -200                 | malformed |
      | Head           | body_bytes      | -1                   | -1        |
      | Head           | body_bytes      | 18446744073709551615 | 18446744073709551615 |
      | Head           | body_bytes      | -2                   | malformed |
      | UpstreamStatus | free            | -3                   | -3        |
      | UpstreamStatus | free            | 1000000000000000000  | malformed |
      | UpstreamStatus | count           | -1                   | malformed |
      | UpstreamStatus | failures        | -1                   | malformed |
      | UpstreamStatus | cusum           | -1                   | malformed |
      | UpstreamStatus | risk            | 1000                 | 1000      |
      | UpstreamStatus | risk            | 1001                 | malformed |
      | UpstreamStatus | risk            | -1                   | malformed |
      | Heartbeat      | config_version  | 9007199254740991     | 9007199254740991 |
      | Heartbeat      | config_version  | 9007199254740992     | malformed |
      | Heartbeat      | config_version  | -1                   | malformed |
      | Heartbeat      | config_digest   | 18446744073709551615 | 18446744073709551615 |
      | Heartbeat      | vm_list_version | 18446744073709551615 | malformed |
      | ConfigUpdate   | version         | 18446744073709551615 | malformed |
      | VmListSnapshot | version         | 18446744073709551615 | malformed |
      | VmListDelta    | base            | -1                   | malformed |
      | Pong           | serial          | -1                   | malformed |

  Scenario Outline: A sender that is granted <credit> bytes stays within its window
    Given a sender of a body that has spent its window
    When it is granted <credit> bytes
    Then it may send <bytes> bytes before it waits

    Examples:
      | credit               | bytes  |
      | 0                    | 0      |
      | 1                    | 1      |
      | 16384                | 16384  |
      | 262144               | 262144 |
      | 262145               | 262144 |
      | 18446744073709551615 | 262144 |

  Scenario Outline: A published value with the version <json> is refused
    When the platform publishes a value with the version <json>
    Then the value is refused

    Examples:
      | json                 |
      | -1                   |
      | 9007199254740992     |
      | 18446744073709551616 |
      | 1.5                  |
      | 1e400                |
      | Infinity             |
      | NaN                  |
      | true                 |
      | null                 |
      | "1_0"                |
      | "٧"                  |
      | []                   |

  Scenario: A published value with a version in its bounds is read
    When the platform publishes a value with the version 9007199254740991
    Then the value has the version 9007199254740991

  # Builds without organisations refuse a message with a field more.
  Scenario Outline: A message "Submit" with the priority <priority> has <count> fields
    When a message "Submit" has the priority <priority>
    Then it is decoded as <priority>
    And it was sent with <count> fields

    Examples:
      | priority | count |
      | -1       | 17    |
      | 0        | 18    |

  # Builds without levels refuse a message with a field more.
  Scenario Outline: A message "UpstreamStatus" with the refused_from <level> has <count> fields
    When a message "UpstreamStatus" has the refused_from <level>
    Then it is decoded as <level>
    And it was sent with <count> fields

    Examples:
      | level   | count |
      | 1000000 | 13    |
      | 2       | 14    |
      | 0       | 14    |
