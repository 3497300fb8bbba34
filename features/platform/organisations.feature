Feature: Organisations of a published configuration

  Background:
    Given a node with an organisation "acme" of key "k-acme" and "bolt" of key "k-bolt"

  Scenario: A key tells its organisation
    Then the keys "k-acme, k-bolt, k-none" belong to "acme, bolt, nobody"
    And no entry is rejected

  Scenario: A faulty organisation keeps its last accepted form, and the others change
    When version 8 sets "apiKeys" of "acme" to "k-new" and "apiKeys" of "bolt" to ["k-more"]
    Then the keys "k-acme, k-new, k-bolt, k-more" belong to "acme, nobody, nobody, bolt"
    And a problem with a remedy is reported for "tenants.acme"

  Scenario Outline: An organisation with <field> as <json> is rejected alone
    When version 8 sets "<field>" of "acme" to <json> and "apiKeys" of "bolt" to ["k-more"]
    Then the keys "k-acme, k-more" belong to "acme, bolt"
    And a problem with a remedy is reported for "tenants.acme"

    Examples:
      | field     | json  |
      | apiKeys   | null  |
      | ratePerS  | -1    |
      | ratePerS  | "95"  |
      | ratePerS  | 1e999 |
      | burst     | true  |
      | priority  | 1.5   |

  Scenario Outline: A key that is <json> identifies nobody, and the other keys hold
    When version 8 sets "apiKeys" of "acme" to [<json>, "k-new"] and "apiKeys" of "bolt" to ["k-bolt"]
    Then the keys "k-acme, k-new, k-bolt" belong to "nobody, acme, bolt"
    And requests without a key are refused
    And a problem with a remedy is reported for "tenants.acme"

    Examples:
      | json |
      | ""   |
      | 7    |
      | null |

  Scenario: A key that a second organisation claims stays with the first
    When version 8 sets "apiKeys" of "acme" to ["k-acme", "k-bolt", "k-new"] and "apiKeys" of "bolt" to ["k-bolt", "k-more"]
    Then the keys "k-acme, k-bolt, k-new, k-more" belong to "acme, bolt, acme, bolt"
    And a problem with a remedy is reported for "organisations.acme"

  Scenario: A key that two organisations claim at once identifies nobody
    When version 8 sets "apiKeys" of "acme" to ["k-new", "k-acme"] and "apiKeys" of "bolt" to ["k-new", "k-bolt"]
    Then the keys "k-acme, k-bolt, k-new" belong to "acme, bolt, nobody"
    And a problem with a remedy is reported for "organisations.acme"
    And a problem with a remedy is reported for "organisations.bolt"

  Scenario: A key moves to another organisation
    When version 8 sets "apiKeys" of "acme" to [] and "apiKeys" of "bolt" to ["k-bolt", "k-acme"]
    Then the keys "k-acme, k-bolt" belong to "bolt, bolt"
    And no entry is rejected

  Scenario: A key moves away from an organisation that can't be read
    When version 8 sets "apiKeys" of "acme" to 5 and "apiKeys" of "bolt" to ["k-bolt", "k-acme"]
    Then the keys "k-acme, k-bolt" belong to "bolt, bolt"

  Scenario: No problem names a key
    When version 8 sets "apiKeys" of "acme" to ["k-bolt", 7] and "apiKeys" of "bolt" to "k-bolt"
    Then no problem contains "k-"

  Scenario Outline: Keys are needed if <what>
    When a node starts with a version in which <what>
    Then requests without a key are <verdict>

    Examples:
      | what                                   | verdict |
      | no organisation can be read            | refused |
      | organisations are gone from its routes | refused |
      | there never were organisations         | served  |

  Scenario: Thousands of organisations are loaded beside the requests
    When version 8 has 8000 organisations with 2 keys each
    Then the keys "k-0-0, k-7999-1, k-8000-0" belong to "o-0, o-7999, nobody"
    And other work of the node waited for 50 ms of processor time at most
    When version 9 takes the key "k-7-0" away
    Then the keys "k-7-0, k-7-1" belong to "nobody, o-7"
    And 7999 organisations are the same objects as before
