Feature: A running node reloads its settings

  Scenario: SIGHUP and changed files reload the settings without downtime
    Given a fleet of 1 nodes in front of "registry-desk"
    When node 1 gets SIGHUP
    Then node 1 records "settings-reloaded" with "nothing has changed"
    When the settings of node 1 name the service "registry-desk"
    Then node 1 records "settings-reloaded" with "changed: service"
    When the settings of node 1 name the service "No Name"
    Then node 1 records "settings-refused" with "service"
    When callers send 20 lookups to all nodes
    Then every lookup has the whole answer to its own request

  Scenario: SIGHUP does not end a node that is still starting
    Given a fleet of 1 nodes in front of "registry-desk"
    When node 1 is killed
    And node 1 is started again and gets SIGHUP while it loads its libraries
    Then node 1 becomes ready

  Scenario: SIGHUP cuts no request in progress
    Given a fleet of 1 nodes in front of "registry-desk"
    When callers send 3 slow registrations of 1500 ms to node 1
    And node 1 gets SIGHUP
    Then node 1 records "settings-reloaded" with "nothing has changed"
    When the registrations in progress have ended
    Then every registration was answered as run
    And registrations answered as run were run once
