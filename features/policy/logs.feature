Feature: Logs are bounded and never make the process wait

  Scenario: A flood of one event does not suppress other events
    When 2000 lines of "flood" and 10 of "rare" come within a second
    Then between 400 and 700 lines of "flood" are written
    And 10 lines of "rare" are written
    And the next line of "flood" says how many were omitted

  Scenario: A consumer that does not read never blocks the writer
    Given an output that is never read
    When 20000 lines are written to it
    Then the writer goes on at once, and lines are counted as dropped

  Scenario: VM lists are sent as differences
    Given two lists of VMs
    When the difference is applied to the first
    Then the result is the second
    When the difference is applied to another list
    Then it asks for the whole list
