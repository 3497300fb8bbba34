Feature: Homes that cannot be reached cost a request little

  # Each dial to a home that is cut off takes up to 250 ms of the request's time.
  Scenario: A request that found a home unreachable goes on to a home with a link
    Given a fleet of 10 nodes in front of "registry-desk", of which nodes 3 to 10 are cut off
    When callers send 200 lookups to node 1
    Then every lookup has the whole answer to its own request

  Scenario: After an unreachable home those with a link are tried first
    Given a request that may go to "a", "b" and "c"
    When the home of "a" cannot be reached, and only that of "b" has a link
    Then it may go to "b" next
    When it was sent to "b"
    Then it may go to "c" next
    When the home of "b" refuses it as busy
    Then it may go to "b" next
