Feature: A home that stops finishes what it accepts, and entries use it last

  Scenario: A stopping home accepts work that it can finish
    Given the home of a node that began to stop, to end after 5000 ms
    Then the home accepts work of 300 ms after 2000 ms
    And the home refuses work of 300 ms after 4500 ms

  # Rare runs take many times as long as the estimate.
  Scenario Outline: A home that stops <verdict> "<operation>" with <left> ms to its deadline after <after> ms
    Given the home of a node that began to stop, to end after 5000 ms
    When 60 runs of "once" have taken 60 ms
    And 60 runs of "again" have taken 60 ms
    Then the home <verdict> "<operation>" with <left> ms to its deadline after <after> ms

    Examples: a part of an answer that has gone out can't be repeated
      | operation | left | after | verdict |
      | once      | 8000 | 0     | accepts |
      | once      | 8000 | 2500  | accepts |
      | once      | 8000 | 2700  | refuses |
      | once      | 1500 | 2700  | accepts |
      | once      | 1500 | 3100  | refuses |
      | again     | 8000 | 0     | accepts |
      | again     | 8000 | 2500  | accepts |
      | again     | 8000 | 2700  | refuses |
      | again     | 1500 | 2700  | accepts |
      | again     | 1500 | 3100  | refuses |

  # The caller decides when the run ends, and its entry can't send it again.
  Scenario Outline: A home that stops <verdict> "<operation>" whose body is still arriving, with <left> ms to its deadline after <after> ms
    Given the home of a node that began to stop, to end after 5000 ms
    When 60 runs of "once" have taken 60 ms
    And 60 runs of "again" have taken 60 ms
    Then the home <verdict> "<operation>" whose body is still arriving, with <left> ms to its deadline after <after> ms

    Examples: the deadline bounds the run
      | operation | left | after | verdict |
      | once      | 8000 | 1000  | refuses |
      | once      | 3000 | 1000  | accepts |
      | again     | 8000 | 1000  | refuses |
      | again     | 3000 | 1000  | accepts |

  Scenario Outline: In the queue of a home that stops "<operation>" <verdict> after 2700 ms
    Given the home of a node that began to stop, to end after 5000 ms
    When "<operation>" of 60 ms is in its queue
    Then the queued work <verdict> after 2700 ms

    Examples: a part of an answer that has gone out can't be repeated
      | operation | verdict        |
      | once      | is handed back |
      | again     | is handed back |

  Scenario: Work in the queue that can no longer be finished is handed back
    Given the home of a node that began to stop, to end after 5000 ms
    When work of 300 ms is in its queue
    Then the queued work stays after 2000 ms
    And the queued work is handed back after 4500 ms

  # Work for other entries must not lengthen the stop, nor calls made by it.
  Scenario: The home refuses all work once its entry has finished its older requests
    Given the home of a node that began to stop, to end after 5000 ms
    When the entry has older requests after 2600 ms
    Then the node is serving
    When the entry has only newer requests and the home has work after 2800 ms
    Then the node is finishing
    And the home refuses work of 1 ms after 2800 ms
    When the entry has older requests after 2900 ms
    Then the node is closed
    When the entry has no requests after 3100 ms
    Then the node is closed
    When the entry has no requests after 3300 ms
    Then the node is ended

  Scenario: A stop ends in time though work is in progress
    Given the home of a node that began to stop, to end after 5000 ms
    When the entry has older requests after 4400 ms
    Then the node is serving
    When the entry has older requests after 4900 ms
    Then the node is finishing
    When the entry has older requests after 5000 ms
    Then the node is ended

  # Work on its way to a home whose node ends has an unknown outcome.
  Scenario: A home is avoided from its last acceptance until its links have closed
    Given the home of a node that began to stop, to end after 5000 ms
    Then the home asks for no avoidance after 4400 ms
    When the entry has older requests after 4510 ms
    Then the home refuses work of 1 ms after 4510 ms
    And the home asks to be avoided until after 5000 ms

  Scenario: An entry uses a leaving home while the others are full
    Given an entry whose upstreams 1 and 2 have 0 and 3 free slots of 3
    When the node of home 2 says that it stops
    Then work goes to upstream 2

  Scenario: An entry prefers homes that stay while they have free slots
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When the node of home 2 says that it stops
    Then work goes to upstream 1

  # Slots that are not used before the stop are lost.
  Scenario: An entry uses a leaving home like the others during a shortage
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When the node of home 2 says that it stops
    And the entry refuses work as overloaded
    Then work goes to upstream 2

  Scenario: An entry prefers a leaving home to an upstream that fails
    Given an entry whose upstreams 1 and 2 have 3 and 3 free slots of 3
    When the node of home 2 says that it stops
    And upstream 1 has just failed
    Then work goes to upstream 2

  Scenario: A leaving home that refused an operation is not offered it again at once
    Given an entry whose upstreams 1 and 2 have 0 and 3 free slots of 3
    When the node of home 2 says that it stops
    And home 2 refuses "once" as node-leaving
    Then "once" goes to upstream 1
    And "again" goes to upstream 2
    When 600 ms pass at the entry
    Then "once" goes to upstream 2

  Scenario: A home is used like the others once its node has started again
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When the node of home 2 says that it stops
    And home 2 refuses "once" as node-leaving
    And a new process of home 2 is linked
    Then "once" goes to upstream 2

  # The address of a VM is used again by another one.
  Scenario: A mark ends with the VM in the list
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When the node of home 2 says that it stops
    And the VM of home 2 leaves the list
    Then work goes to upstream 2

  Scenario: A VM that was missing from the list for a time can still leave
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When the VM of home 2 leaves the list
    And the node of home 2 says that it stops
    Then work goes to upstream 1

  Scenario: A late notice of the process that has ended is ignored
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When a new process of home 2 is linked
    And the former process of home 2 says that it stops
    Then work goes to upstream 2

  Scenario: An upstream that joins beside a leaving node is preferred as little
    Given an entry whose upstreams 1 and 2 have 1 and 3 free slots of 3
    When the node of home 2 says that it stops
    And upstream 2 leaves the list and joins it again
    Then work goes to upstream 1
