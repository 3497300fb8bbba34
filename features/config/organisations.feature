Feature: Organisations in the project's own files

  Background:
    Given own files with the keys "k-a" of "acme" and "k-b" of "bolt"

  Scenario: A change of keys is loaded
    When own files have the keys "k-a2" of "acme" and "k-a, k-b" of "bolt"
    Then the keys of "acme" are "k-a2"
    And the keys of "bolt" are "k-a, k-b"
    And callers need keys

  # The entry that had the key, and was in order, was left out.
  Scenario Outline: A key that is claimed by a second organisation, <which>, stays with the first
    When own files have the keys "<acme>" of "acme" and "<bolt>" of "bolt"
    Then the keys of "acme" are "k-a"
    And the keys of "bolt" are "k-b"

    Examples:
      | which      | acme     | bolt     |
      | the first  | k-a, k-b | k-b      |
      | the second | k-a      | k-a, k-b |

  Scenario: A section without organisations admits nobody, none admits all
    When own files have no organisation in the section
    Then callers need keys
    When own files have no section "organisations"
    Then callers need no keys
