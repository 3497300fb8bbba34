Feature: A home that has restarted gets work at once

  Scenario: Entries do not back off from a home that restarts
    Given a fleet of 12 nodes in front of "registry-desk"
    When node 2 is stopped for 6 s while callers send lookups to the other nodes
    Then every lookup has the whole answer to its own request
    And each entry that lost node 2 uses it again, after at least 2 failed dials a second

  Scenario: Entries do not back off from a home that is listed before it starts
    Given a fleet of 12 nodes in front of "registry-desk" of which node 2 is listed but starts 6 s later
    Then every lookup has the whole answer to its own request
    And each entry that lost node 2 uses it again, after at least 2 failed dials a second

  Scenario: A home gets no work before it knows its upstreams
    Given a fleet of 4 nodes in front of "registry-desk"
    When a home that does not know its upstreams takes the place of node 2
    And callers send 600 lookups to the other nodes, more than they can run
    Then the home has got no request
    When the home knows its upstreams
    And callers send 600 lookups to the other nodes, more than they can run
    Then the home has got a request

  Scenario: A home that starts without the platform learns its upstreams from entries
    Given a fleet of 8 nodes in front of "registry-desk"
    When the platform goes down
    And node 2 is stopped for 3 s while callers send lookups to the other nodes
    Then every lookup has the whole answer to its own request
    And each entry that lost node 2 uses it again
    When callers send 120 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And each lookup sent to node 2 since then reaches its upstream

  Scenario: A node does not wait for a silent platform before it asks its seeds
    Given a fleet of 2 nodes in front of "registry-desk"
    When a further node starts with a seed, and the platform does not answer it
    Then that node knows its upstreams before it gives up on the platform

  Scenario: A link to a process that has been replaced is given up at once
    Given a node that is linked to a home
    When another process takes the place of the home, and the old link stays silent
    And the new process of the home dials the node
    Then the node has a link to the new process only, and uses the home again

  Scenario: Another node has the address of a home
    Given a node that dials a home at the address of another
    When it dials the home 3 times
    Then it keeps no link
