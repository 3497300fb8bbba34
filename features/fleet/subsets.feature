Feature: An entry uses a bounded subset of each service

  Scenario: The links of an entry follow the size of its subsets
    Given a fleet of 12 nodes in front of "registry-desk" that closes idle links
    When callers send 240 lookups to all nodes
    Then some node uses 12 upstreams
    When the operators publish version 2 with "services: {registry-desk: {subset_size: 3}}" added
    Then all nodes follow configuration 2 within 8 s
    When callers send 240 lookups to all nodes
    Then every lookup has the whole answer to its own request
    And no node uses more than 3 upstreams
    And no node keeps more than 7 dialled links
    And no node ejects an upstream

  Scenario: Entries spread over the upstreams
    Given 300 entries in 3 zones before 600 upstreams, each using 30
    Then each entry uses 30 upstreams, 20 of them in its zone
    And each upstream is used by 3 to 45 entries

  Scenario: Rendezvous hashing changes only subsets with the upstream that left
    Given 300 entries in 3 zones before 600 upstreams, each using 30
    When an upstream leaves
    Then only the entries that used it change, by one upstream each

  Scenario: Subsets replace homes that cannot be dialled
    Given 300 entries in 3 zones before 600 upstreams, each using 30
    When the homes of zone 1 cannot be dialled
    Then each entry uses 30 upstreams, none of them in zone 1
    When the homes of all zones cannot be dialled
    Then each entry uses 30 upstreams, 20 of them in its zone

  # A home that other entries use instead has no reason to dial this one.
  Scenario: A home that could not be dialled is used again soon after it can be
    Given a fleet of 16 nodes in front of "registry-desk" with a relay in front of node 2
    When the operators publish version 2 with "services: {registry-desk: {subset_size: 3}}" added
    Then all nodes follow configuration 2 within 8 s
    When the relay is cut forward
    And callers send 400 lookups to all nodes
    Then some node records "home-excluded" in its audit trail
    When the relay is healed
    Then no node leaves a home out any more within 10 s

  Scenario: A node that leaves moves only the upstreams it owned
    Given 40 nodes and 4000 VMs without a node in one zone
    Then each node owns 50 to 200 upstreams
    When a node leaves
    Then only the upstreams of that node have another home

  Scenario Outline: Even subsets give no upstream much more than the mean
    Given <count> VMs in six zones of three regions, with even subsets
    Then the busiest upstream is in at most 1.3 times the mean number
    And each entry uses 20 upstreams of its region and 10 others
    And each entry uses the upstream on its own VM
    And a VM that leaves or joins changes 1 upstreams a subset on average, and 4 at most

    Examples: sizes of fleets
      | count |
      | 60    |
      | 100   |
      | 235   |
      | 300   |

  Scenario Outline: Even subsets stay even when a zone or a region is lost
    Given <count> VMs in six zones of three regions, with even subsets
    When the VMs of "<place>" <way>
    Then the busiest upstream is in at most 1.3 times the mean number

    Examples: losses
      | count | place    | way               |
      | 60    | zone-1   | leave the list    |
      | 60    | region-1 | leave the list    |
      | 100   | zone-1   | leave the list    |
      | 100   | region-1 | leave the list    |
      | 235   | zone-1   | leave the list    |
      | 235   | region-1 | leave the list    |
      | 300   | zone-1   | leave the list    |
      | 300   | region-1 | leave the list    |
      | 60    | zone-1   | cannot be dialled |
      | 60    | region-1 | cannot be dialled |
      | 100   | zone-1   | cannot be dialled |
      | 100   | region-1 | cannot be dialled |
      | 235   | zone-1   | cannot be dialled |
      | 235   | region-1 | cannot be dialled |
      | 300   | zone-1   | cannot be dialled |
      | 300   | region-1 | cannot be dialled |
