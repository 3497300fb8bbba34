Feature: One entry that cannot be understood does not hold up all others

  Background:
    Given a node that follows the platform's configuration of version 7

  Scenario: A kind of request that is not known is never repeated
    When version 8 adds the route "scan" of kind "upload"
    And version 9 adds the route "odd" of kind "never-heard-of"
    Then version 9 is in force with the routes "d, odd, scan, split"
    And work of the routes "odd, scan" must not be repeated
    And nothing of it is refused

  Scenario Outline: An unreadable <field> keeps its route as it was
    When version 8 adds the route "new" of kind "idempotent"
    And version 9 adds "late" and sets "<field>" of the route "split" to <json>
    Then version 9 is in force with the routes "d, late, new, split"
    And the route "split" is the one of version 7
    And the refusal names "routes.split"

    Examples:
      | field         | json             |
      | targetLatency | 5                |
      | targetLatency | "soon"           |
      | timeout       | null             |
      | trafficSplit  | [{"service": 7}] |
      | trafficSplit  | {}               |
      | prefix        | "no-slash"       |
      | host          | "spaces here"    |
      | host          | ["a"]            |

  Scenario Outline: A route that was never readable is left out: <what>
    When version 8 adds "late" and the part <json>
    Then version 8 is in force with the routes "d, late, split"

    Examples:
      | what               | json                                                                                                                             |
      | a number           | 5                                                                                                                                |
      | no name            | {"resourceType": "routes", "spec": {}}                                                                                           |
      | no spec            | {"resourceType": "routes", "metadata": {"name": "x"}}                                                                            |
      | a spec of one word | {"resourceType": "routes", "metadata": {"name": "x"}, "spec": "y"}                                                               |
      | no such service    | {"resourceType": "routes", "metadata": {"name": "x"}, "spec": {"host": "a.example", "prefix": "/x/", "service": "gone", "timeout": "1s", "targetLatency": "1s"}} |
      | another kind       | {"resourceType": "tenants", "metadata": {"name": "x"}, "spec": {"keys": []}}                                                     |

  Scenario: An unreadable service and unreadable limits stay as they were
    When version 8 adds "late" and spoils the service "ledger" and all limits
    Then version 8 is in force with the routes "d, late, split"
    And the service "ledger" and the limits are those of version 7
    And the refusal names "services.ledger"
    And the refusal names "callers.idle_ms"

  Scenario Outline: Figures beyond all bounds are taken as the bound
    When version 8 adds "late" and sets "<field>" of the route "d" to <json>
    Then version 8 is in force with the routes "d, late, split"
    And nothing of it is refused

    Examples:
      | field    | json                 |
      | priority | 99999999999999999999 |
      | priority | -4                   |
      | attempts | 99999999999999999999 |
      | timeout  | "999999999999s"      |

  Scenario: Two nodes of different pasts agree on what they follow
    When version 8 adds "late" and sets "timeout" of the route "split" to "soon"
    Then a node that starts with version 8 has the same digest
