Feature: A key is taken away while the store is silent for some VMs

  Scenario Outline: The store is silent for <silent> of 6 nodes
    Given 6 nodes with organisations that read a store, each over a path of its own
    And two of them watch the store
    When the store is silent for <silent>
    And a version takes the key of "acme" away, and gives "bolt" another one
    Then no node serves the key of "acme" 2500 ms later
    And all nodes serve both keys of "bolt"

    Examples:
      | silent                        |
      | all but its readers           |
      | a reader and two other nodes  |
