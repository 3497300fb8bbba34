Feature: Whatever is published, what was not touched stays in force

  Scenario: Drawn changes of a whole document
    When 150 changes of a document are drawn with hypothesis
    Then each draw left the routes it did not touch in force
    And each draw with a readable version moved the version on

  Scenario: Drawn entries of upstreams
    When 300 entries of upstreams are drawn with hypothesis
    Then each names an upstream that the list can hold, or none

  Scenario: Drawn answers of the store
    When 200 answers of the store are drawn with hypothesis
    Then each is read or refused, and none raises

  Scenario: Drawn bytes of callers' heads
    When 300 heads of requests are drawn with hypothesis
    Then each is accepted with one length and one host, or refused

  Scenario: Drawn bytes of an upstream's connection
    When 200 byte streams of an upstream are drawn with hypothesis
    Then each gives the own answer, or none, within the bounds
