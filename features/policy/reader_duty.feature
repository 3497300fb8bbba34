Feature: Nodes take over from readers of the platform that are not heard of

  # Work was left to readers that were dead, frozen or did not exist.
  Background:
    Given a zone of 12 nodes, of which those of rank 0 and 1 read

  Scenario: While two readers are heard of no other node reads
    When 5000 ms pass
    Then the nodes of ranks "0, 1" read

  Scenario: The next two take over from two that are lost at once
    When the nodes of ranks "0, 1" are lost
    And 1300 ms pass
    Then the nodes of ranks "2, 3" read

  Scenario: The next one takes over from one
    When the nodes of ranks "0" are lost
    And 1300 ms pass
    Then the nodes of ranks "1, 2" read

  Scenario: Many that are lost at once delay the others a little
    When the nodes of ranks "0, 1, 2, 3, 4, 5" are lost
    And 1700 ms pass
    Then the nodes of ranks "6, 7" read

  Scenario: Those that take over end once the first are back
    When the nodes of ranks "0, 1" are lost
    And 3000 ms pass
    And the nodes of ranks "0, 1" are back
    And 1000 ms pass
    Then the nodes of ranks "0, 1" read

  Scenario: One more reads beside one that the platform does not answer
    When the platform does not answer the nodes of ranks "0"
    And 3000 ms pass
    Then the nodes of ranks "0, 1, 2" read

  Scenario: An outage of the platform makes only a few more nodes call it
    When the platform does not answer the nodes of ranks "0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11"
    And 60000 ms pass
    Then the nodes of ranks "0, 1, 2, 3" read

  Scenario: Nodes that do not exist are not waited for
    When the nodes of ranks "0, 1, 2, 3, 4, 5, 6, 7, 8, 9" are lost
    And 2200 ms pass
    Then the nodes of ranks "10, 11" read

  Scenario: A late copy of a report does not keep a lost reader alive
    When a report of the node of rank 0 is delayed by 1500 ms
    And the nodes of ranks "0, 1" are lost
    And 1600 ms pass
    Then the nodes of ranks "2, 3" read

  # The nodes that had taken over ended seconds before a restarted one watched.
  Scenario: A node that has started reports only once it watches
    Given a node that ranks first and has read the platform at its start
    Then it sends no report
    When it begins to watch
    Then it reports that it reads

  # The event loop of the node stopped until the reports had become too old.
  Scenario: A node whose duty ends goes on with its other work
    Given a node of rank 2 that reads in place of silent readers
    When both readers are heard of again before its next check
    Then its watch has gone round at most 6 times

  # Reports were a fifth of the messages of a fleet of 106 nodes.
  Scenario Outline: A report reaches a zone of <nodes> nodes, each linked to <linked> % of the others
    Given a zone of <nodes> nodes, each linked to <linked> % of the others
    Then a report reaches at least <reached> % of them by <messages> messages each

    Examples:
      | nodes | linked | reached | messages |
      | 12    | 100    | 100     | 2        |
      | 35    | 80     | 94      | 3        |
      | 35    | 50     | 90      | 4        |
      | 150   | 30     | 90      | 4        |

  # It reported for 2.7 s more that it read, so that nobody took over in time.
  Scenario: A reader that the platform turns away says so at once
    Given a node that ranks first and has read the platform at its start
    When it begins to watch
    And 1 calls of it fail
    Then it reports in turn "True"
    When 1 calls of it fail
    Then it reports in turn "True, False"
    When the platform answers it again
    Then it reports in turn "True, False, True"
