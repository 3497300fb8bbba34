Feature: Arbitrary input is rejected without affecting anything else

  Scenario: Random changes to a document
    When hypothesis generates 150 changes to a document
    Then each change left all other routes active
    And each change made its version the active one

  Scenario: Random entries of upstreams
    When hypothesis generates 300 entries of upstreams
    Then each is rejected, or gives a valid VM list

  Scenario: Random entries beside good ones
    When hypothesis generates 200 lists of entries with odd ones among them
    Then each list keeps the good ones, and nodes of all builds read it

  Scenario: Random VMs in lists and changes from other nodes
    When hypothesis generates 200 lists of VMs with odd ones among them
    Then each list keeps the good ones, and nodes of all builds read it

  Scenario: Random answers of the project's own platform
    When hypothesis generates 100 answers of a platform
    Then each is taken or refused, and the next sound one is taken

  Scenario: Random messages of an authenticated node
    When hypothesis generates 500 messages between nodes
    Then each is decoded or refused, and can be encoded again

  Scenario: Random responses of the store
    When hypothesis generates 200 responses of the store
    Then each is decoded or rejected without an exception

  Scenario: Random bytes in request heads
    When hypothesis generates 300 request heads
    Then each is rejected, or accepted with one host and at most one length

  Scenario: Random bytes on an upstream's connection
    When hypothesis generates 200 byte streams of an upstream
    Then each gives the matching response or none, within the size limits
