Feature: A view of the platform after its return from an older copy goes before all others

  # The list stood still until revisions had passed those of before.
  Scenario: An upstream that drains after the return goes out of use
    Given a store that names its generation, with 3 upstreams
    And a reader and a node of another zone that follow it
    When the store is copied
    And 4 changes are made, and the store comes back from the copy
    And an upstream starts to drain
    And the reader passes on what it reads
    Then the node lists 3 upstreams, one of them leaving

  # The watch went on behind the change, and no answer said so.
  Scenario: Changes are learned although revisions have passed those of before
    Given a store that names its generation, with 3 upstreams
    And a reader and a node of another zone that follow it
    When the store is copied
    And 1 changes are made, and the store comes back from the copy
    And an upstream starts to drain
    And 5 changes are made
    And the reader passes on what it reads
    Then the node lists 3 upstreams, one of them leaving

  # No reader ever learned of a change that was given a known revision.
  Scenario: A configuration that comes right after the return is learned
    Given a store that names its generation, with 3 upstreams
    When the source is read
    And the store is copied
    And 1 changes are made
    And the source is read
    And the store comes back from the copy
    And a configuration of version 8 is published
    And the source is read
    Then 3 upstreams and version 8 are known

  Scenario: Nothing but a removal is written after the return
    Given a store that names its generation, with 3 upstreams
    And a reader and a node of another zone that follow it
    When the store is copied
    And 2 changes are made, and the store comes back from the copy
    And an upstream is removed
    And the reader passes on what it reads
    And the grace period of the reader ends, and it passes on what it reads
    Then the node lists 2 upstreams

  # Upstreams that have left were in use again, as the copy names them.
  Scenario Outline: An upstream that <leaves> before the return stays out of use
    Given a store that names its generation, with 3 upstreams
    And a reader and a node of another zone that follow it
    When the store is copied
    And <change>
    And the reader passes on what it reads
    And the store comes back from the copy
    And the reader passes on what it reads
    Then the node uses 2 upstreams
    When the entry of that upstream outlives its expiry
    Then the node uses 3 upstreams

    Examples:
      | leaves | change                     |
      | drains | an upstream starts to drain |
      | left   | an upstream is removed      |

  Scenario: An upstream that has left stays out of use through two returns
    Given a store that names its generation, with 3 upstreams
    And a reader and a node of another zone that follow it
    When the store is copied
    And an upstream is removed
    And the reader passes on what it reads
    And the store comes back from the copy
    And the reader passes on what it reads
    And the store comes back from the copy
    And the reader passes on what it reads
    Then the node uses 2 upstreams
    When an upstream is removed
    And the grace period of the reader ends, and it passes on what it reads
    And the entry of that upstream outlives its expiry
    Then the node uses 2 upstreams

  # Healthy capacity would be gone until all upstreams have written again.
  Scenario: An upstream that the copy lacks is kept until it has written again
    Given a store that names its generation, with 3 upstreams
    When the store is copied
    And an upstream joins
    And a reader and a node of another zone follow the store
    And the store comes back from the copy
    And the reader passes on what it reads
    Then the node uses 4 upstreams
    When an upstream joins
    And the grace period of the reader ends, and it passes on what it reads
    Then the node uses 4 upstreams

  Scenario: An upstream that the copy lacks and that does not write again is gone
    Given a store that names its generation, with 3 upstreams
    When the store is copied
    And an upstream joins
    And a reader and a node of another zone follow the store
    And the store comes back from the copy
    And the reader passes on what it reads
    And the grace period of the reader ends, and it passes on what it reads
    Then the node uses 3 upstreams

  # The number of a version is the same in two generations, the list is not.
  Scenario: A change from a version of an earlier generation is not applied
    Given a node with a list of 2 VMs of version 7, generation 1
    When it gets a change of 3 VMs from version 7 to 9 of generation 2
    Then it asks for the list that follows version 7 of generation 1
    When it gets the list of 4 VMs of version 5, generation 2
    Then it lists 4 VMs
    When it gets the list of 2 VMs of version 99, generation 1
    Then it lists 4 VMs

  Scenario: An answer of an earlier generation is out of date
    Given a store that names its generation, with 3 upstreams
    When the source is read
    And the store comes back from a copy of itself
    And the source is read
    And an upstream is removed
    And answers name the generation before
    Then the source refuses to read
    When answers name the generation again
    And the source is read
    And the grace period for removals ends
    And the source is read
    Then 2 upstreams are known

  Scenario Outline: An answer whose generation is <odd> counts as one of the known generation
    Given a store that names its generation, with 3 upstreams
    When the source is read
    And answers name the generation "<odd>"
    And an upstream is removed
    And the source is read
    Then 2 upstreams are known

    Examples:
      | odd              |
      | -1               |
      | 1e9              |
      | 9999999999999999 |

  # Earlier builds close a link on which a field comes that they don't know.
  Scenario: A node of an earlier build gets no generation and is followed as before
    Given a node with a list of 2 VMs of version 7, generation 3
    When it is linked to a node of an earlier build
    Then no message to that node names a generation
    When that node has a list of 3 VMs of version 9
    Then the node asks it for the list after version 7, and lists 3 VMs

  Scenario: Two nodes that know generations name them
    Given a node with a list of 2 VMs of version 7, generation 3
    When it is linked to a node that knows generations
    Then it names generation 3 to that node
    When that node has a list of 4 VMs of version 5 in generation 4
    Then the node asks it for the list after version 7, and lists 4 VMs
