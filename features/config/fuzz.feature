Feature: Arbitrary input is rejected without affecting anything else

  Scenario: Random changes to a document
    When hypothesis generates 150 changes to a document
    Then each change left all other routes active
    And each change made its version the active one

  Scenario: Random entries of upstreams
    When hypothesis generates 300 entries of upstreams
    Then each is rejected, or gives a valid VM list

  Scenario: Random responses of the store
    When hypothesis generates 200 responses of the store
    Then each is decoded or rejected without an exception

  Scenario: Random bytes in request heads
    When hypothesis generates 300 request heads
    Then each is rejected, or accepted with one host and at most one length

  Scenario: Random bytes on an upstream's connection
    When hypothesis generates 200 byte streams of an upstream
    Then each gives the matching response or none, within the size limits
