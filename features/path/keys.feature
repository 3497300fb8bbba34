Feature: Callers identify their organisation by a key

  Background:
    Given a node with the platform's settings and an upstream of "desk"

  Scenario: Without organisations, the headers pass through untouched
    When a caller gets "/d/1" with "Authorization: Token k-acme, Tenant: acme"
    Then the status is 200 with the seal of the upstream
    And the upstream got "Authorization: Token k-acme, Tenant: acme"

  Scenario: The upstream gets the name of the organisation, not the key
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/d/1" with "Authorization: Token k-acme"
    Then the status is 200 with the seal of the upstream
    And the upstream got "Tenant: acme" and no key

  Scenario Outline: A caller claims another organisation by <headers>
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/d/1" with "Authorization: Token k-acme, <headers>"
    Then the status is 200 with the seal of the upstream
    And the upstream got "Tenant: acme" and no key

    Examples:
      | headers                          |
      | Tenant: bolt                     |
      | tenant: bolt                     |
      | TENANT: bolt, Connection: tenant |
      | Tenant: bolt, Tenant: bolt       |

  Scenario Outline: A request with <headers> is refused
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/d/1" with "<headers>"
    Then the status is 401 without a seal
    And its body gives the reason "unknown-key"
    And the upstream got nothing

    Examples:
      | headers                                                   |
      | X-Nothing: 1                                              |
      | Tenant: acme                                              |
      | Authorization: Token k-none                               |
      | Authorization: Token                                      |
      | Authorization: Basic k-acme                               |
      | Authorization: k-acme                                     |
      | Authorization: Token K-ACME                               |
      | Authorization: Token k-acme k-bolt                        |
      | Authorization: Token k-acme, Authorization: Token k-bolt  |
      | Authorization: Token ké                                   |

  Scenario Outline: The public route is served to a caller with <headers>
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/p/1" with "<headers>"
    Then the status is 200 with the seal of the upstream
    And the upstream got no organisation and no key

    Examples:
      | headers                                   |
      | X-Nothing: 1                              |
      | Tenant: acme                              |
      | Authorization: Token k-none, Tenant: acme |

  Scenario: A known key tells the organisation on the public route, too
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/p/1" with "Authorization: Token k-acme, Tenant: bolt"
    Then the status is 200 with the seal of the upstream
    And the upstream got "Tenant: acme" and no key

  Scenario: A request that matches no route has no key to check
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/x/1" with "Authorization: Token k-none"
    Then the status is 404 without a seal

  Scenario: A request is refused before its body is read
    Given a configuration with the organisations "acme" and "bolt"
    When a caller announces 5000000 bytes with the key "k-none" and sends none
    Then it gets status 401 within 500 ms and no call for the body
    And the node closes its connection

  Scenario: A caller that was refused can go on with another key
    Given a configuration with the organisations "acme" and "bolt"
    When a caller posts 1000 bytes with the keys "k-none, k-acme" on one connection
    Then the statuses are "401, 200"

  Scenario: A key that is taken away is refused on an open connection
    Given a configuration with the organisations "acme" and "bolt"
    And a caller that keeps its connection has been served with "k-acme"
    When a version takes the key "k-acme" away
    Then within 2500 ms it gets 401 on that connection
    And "k-bolt" is served on that connection

  Scenario: A key is taken away while a body arrives
    Given a configuration with the organisations "acme" and "bolt"
    When a caller with the key "k-acme" sends half of a body
    And a version takes the key "k-acme" away
    And the caller sends the other half once that is in force
    Then it gets status 401
    And the upstream got nothing

  Scenario: A key passes to another organisation while a body arrives
    Given a configuration with the organisations "acme" and "bolt"
    When a caller with the key "k-acme" sends half of a body
    And a version gives the key "k-acme" to "bolt"
    And the caller sends the other half once that is in force
    Then it gets status 200
    And the upstream got "Tenant: bolt" and no key

  Scenario: An operator sees what became of an organisation's requests
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/d/1" with "Authorization: Token k-acme"
    And a caller gets "/d/1" with "Authorization: Token k-acme"
    Then the log names "acme" and the id of the key "k-acme" for its answer
    And the metrics have "acme" with 2 answered and 0 refused requests

  Scenario: Keys are not to be seen
    Given a configuration with the organisations "acme" and "bolt"
    When a caller gets "/d/1" with "Authorization: Token k-acme"
    And a caller gets "/d/1" with "Authorization: Token k-none"
    Then the log has a line "key-refused" with the id of the key "k-none"
    And neither the log nor any admin page contains "k-acme", "k-bolt" or "k-none"
