Feature: One faulty entry does not block the changes of all others

  Background:
    Given a node with version 7 of the platform's configuration

  Scenario: A request of an unknown kind is never retried
    When version 8 adds the route "scan" of kind "upload"
    And version 9 adds the route "odd" of kind "never-heard-of"
    Then version 9 is active with the routes "d, odd, scan, split"
    And the operations of the routes "odd, scan" are not idempotent
    And no entry is rejected

  Scenario Outline: A route with an invalid <field> keeps its last accepted form
    When version 8 adds the route "new" of kind "idempotent"
    And version 9 adds "late" and sets "<field>" of the route "split" to <json>
    Then version 9 is active with the routes "d, late, new, split"
    And the route "split" is unchanged since version 7
    And a problem with a remedy is reported for "routes.split"

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

  Scenario Outline: An entry without an accepted form is left out: <what>
    When version 8 adds "late" and the resource <json>
    Then version 8 is active with the routes "d, late, split"

    Examples:
      | what               | json                                                                                                                             |
      | a number           | 5                                                                                                                                |
      | no name            | {"resourceType": "routes", "spec": {}}                                                                                           |
      | no spec            | {"resourceType": "routes", "metadata": {"name": "x"}}                                                                            |
      | a spec of one word | {"resourceType": "routes", "metadata": {"name": "x"}, "spec": "y"}                                                               |
      | no such service    | {"resourceType": "routes", "metadata": {"name": "x"}, "spec": {"host": "a.example", "prefix": "/x/", "service": "gone", "timeout": "1s", "targetLatency": "1s"}} |
      | another kind       | {"resourceType": "tenants", "metadata": {"name": "x"}, "spec": {"keys": []}}                                                     |

  Scenario: An invalid service and invalid limits keep their last accepted form
    When version 8 adds "late" and makes the service "ledger" and the limits invalid
    Then version 8 is active with the routes "d, late, split"
    And the service "ledger" and the limits are unchanged since version 7
    And a problem with a remedy is reported for "services.ledger"
    And a problem with a remedy is reported for "callers.idle_ms"

  Scenario Outline: Numbers out of range are clamped
    When version 8 adds "late" and sets "<field>" of the route "d" to <json>
    Then version 8 is active with the routes "d, late, split"
    And no entry is rejected

    Examples:
      | field    | json                 |
      | priority | 99999999999999999999 |
      | priority | -4                   |
      | attempts | 99999999999999999999 |
      | timeout  | "999999999999s"      |

  Scenario: Nodes with different earlier versions agree on the digest
    When version 8 adds "late" and sets "timeout" of the route "split" to "soon"
    Then a node that starts with version 8 has the same digest
