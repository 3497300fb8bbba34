Feature: Faulty configuration is rejected with file, line, field and remedy

  Background:
    Given the configuration of "helvetia" in a folder

  Scenario: The configurations of both example sites are accepted
    When "config check" runs on the folder
    Then the exit code is 0
    When "config check" runs on the example "amakusa"
    Then the exit code is 0

  Scenario Outline: <what>
    Given the file "90-more.yaml" with
      """
      <text>
      """
    When "config check" runs on the folder
    Then the exit code is 2
    And the errors contain "90-more.yaml"
    And the errors contain "<message>"
    And no traceback is printed

    Examples: one faulty file
      | what                          | text                                                                             | message                       |
      | An unknown section            | servces: {}                                                                      | check the spelling            |
      | An unknown field              | services: {registry-desk: {slot: 3}}                                             | slot                          |
      | A duplicate key               | {routes: {}, routes: {}}                                                         | duplicate key                 |
      | A time with a unit            | services: {registry-desk: {queue: {max_wait_ms: 2s}}}                            | whole milliseconds            |
      | A floor above 100 percent     | services: {registry-desk: {detection: {error_percent: 160}}}                     | 160                           |
      | An unknown zone               | services: {s: {zones: [nowhere], slots_per_upstream: 1, connections_per_upstream: 1, healthy_floor_percent: 50, operations: {o: {idempotent: true, work_class: short, deadline_ms: 5}}}} | unknown zone 'nowhere' |
      | A field set by two teams      | services: {registry-desk: {slots_per_upstream: 4}}                               | already set at 20-registry-desk.yaml:5 |
      | A route to an unknown service | routes: {r: {service: none, operation: o, method: GET, path_prefix: /r}}         | unknown service 'none'        |
      | An unknown rule               | services: {registry-desk: {balancer: guess}}                                     | choose one of: least-risk, least-wait |
      | A YAML alias                  | a: [&x [1, 2], *x]                                                               | aliases are not allowed       |
      | Broken syntax                 | a: [1, 2                                                                         | not valid YAML                |
      | A list instead of a mapping   | [1, 2]                                                                           | not a mapping                 |
      | A route that exists already   | routes: {r: {service: registry-desk, operation: lookup, method: GET, path_prefix: /cultivars}} | matches 'GET /cultivars' |
      | A key in the place of its digest | organisations: {acme: {key_digests: [secret]}} | organisations.acme.key_digests.0: is malformed |
      | Organisations without a header for keys | organisations: {acme: {key_digests: [6e8e0db32c9b6461e2c076e25a42f416]}} | set headers.credential |
      | A key of two organisations | {headers: {credential: X-Key}, organisations: {acme: {key_digests: [6e8e0db32c9b6461e2c076e25a42f416]}, bolt: {key_digests: [6e8e0db32c9b6461e2c076e25a42f416]}}} | claims the key 6e8e0db3 |

  Scenario: A healthy floor above 100 percent
    Given the file "20-registry-desk.yaml" changed from "healthy_floor_percent: 60" to "healthy_floor_percent: 160"
    When "config check" runs on the folder
    Then the exit code is 2
    And the errors contain "20-registry-desk.yaml:7"
    And the errors contain "lower the value"

  Scenario: A file above the size limit of the platform
    Given the file "90-more.yaml" of 1000001 bytes
    When "config check" runs on the folder
    Then the exit code is 2
    And the errors contain "larger than 1000000 bytes"

  Scenario Outline: A file with a nesting depth of <depth>
    Given the file "90-more.yaml" nested <depth> deep
    When "config check" runs on the folder
    Then the exit code is 2
    And the errors contain "<message>"
    And no traceback is printed

    Examples: above our limit, and above the limit of the parser
      | depth | message               |
      | 40    | nested deeper than 32 |
      | 5000  | maximum nesting depth |

  Scenario: A missing folder
    When "config check" runs on the path "no-such-folder"
    Then the exit code is 2
    And the errors contain "is not a folder"

  Scenario: The merged configuration shows file and line of each field
    When "config show" runs on the folder
    Then the exit code is 0
    And the output contains "services.registry-desk.slots_per_upstream"
    And the output contains "20-registry-desk.yaml:5"

  Scenario: Two configurations are compared field by field
    Given the file "20-registry-desk.yaml" changed from "slots_per_upstream: 3" to "slots_per_upstream: 4"
    When "config diff" compares the example "helvetia" with the folder
    Then the exit code is 0
    And the output contains "- services.registry-desk.slots_per_upstream: 3"
    And the output contains "+ services.registry-desk.slots_per_upstream: 4"

  Scenario Outline: No error quotes a key that is given in the place of its digest
    Given the file "90-more.yaml" with
      """
      organisations: <organisations>
      """
    When "config check" runs on the folder
    Then the exit code is 2
    And the errors contain "organisations"
    And the errors don't contain "secret"

    Examples:
      | organisations                        |
      | secret                               |
      | [secret]                             |
      | {acme: secret}                       |
      | {acme: [secret]}                     |
      | {acme: {key_digests: secret}}        |
      | {acme: {key_digests: [secret]}}      |
      | {acme: {key_digests: {a: secret}}}   |
      | {acme: {key_digests: [[secret]]}}    |
      | {acme: {key_digests: [secret, secret]}} |
