Feature: Connections with high file descriptors are waited for like others

  # select() takes no descriptor from 1024 on. Runs on such connections ended by an
  # unexpected error, so that callers got 502 while the upstream was at work.
  Scenario Outline: A process with <count> descriptors waits for a connection
    Given a process that holds <count> descriptors
    And a connection that it opens then
    Then it is writable, and not readable within 20 ms
    When the peer sends bytes
    Then it is readable
    When the peer closes the connection
    Then it is readable, and not to be written to

    Examples:
      | count |
      | 100   |
      | 1100  |

  Scenario: The first of two connections that has bytes is found
    Given a process that holds 1100 descriptors
    And two connections that it opens then
    When 50 ms later the peer sends bytes on the second one
    Then the second one is found to be readable

  Scenario: A connection that is closed already is readable
    Given a process that holds 1100 descriptors
    And a connection that it opens then
    When it closes the connection itself
    Then it is readable, and not to be written to
