Feature: Work that may have run is never reported as not run

  Scenario Outline: The first attempt <what>, and no other upstream has room
    Given a fleet of 3 nodes and 1 entry in front of "registry-desk"
    When callers send 60 lookups to the running nodes
    And upstream 1 changes to "<field>" of "<setting>"
    And upstream 1 changes to "<other field>" of "<other setting>"
    And all upstreams but the first refuse work
    And callers send 60 distinct lookups to node 4
    Then no lookup that ran was reported as not run
    And some lookups ran and failed

    Examples:
      | what                                  | field       | setting | other field     | other setting |
      | ends with an error                    | fail_share  | 1       | slow_factor     | 1             |
      | loses its answer                      | lose_share  | 1       | slow_factor     | 1             |
      | loses its answer, and then sheds      | lose_share  | 1       | shed_after_loss | true          |
      | ends with an error beside a late copy | fail_share  | 0.6     | slow_factor     | 30            |
