Feature: At a bound, callers that gave least for longest are closed first

  Scenario Outline: <who> goes first
    Given callers that may have <most> connections and 10000000 bytes
    When these connections are open
      | address | phase   | waited | given | held   |
      | a       | silent  | 20     | 0     | 0      |
      | a       | running | 90000  | 0     | 300000 |
      | a       | idle    | 3000   | 0     | 0      |
      | a       | answer  | 500    | 0     | 300000 |
      | b       | answer  | 5000   | 0     | 300000 |
      | b       | silent  | 4000   | 0     | 0      |
      | b       | head    | 60000  | 50    | 50     |
      | b       | body    | 9000   | 20000 | 20000  |
      | b       | closing | 10     | 0     | 0      |
    Then these are closed: <closed>

    Examples: at different bounds
      | who                                  | most | closed           |
      | nobody                               | 9    | none             |
      | a connection that only ends          | 8    | 8                |
      | a head that takes long               | 7    | 6, 8             |
      | a connection without a byte          | 6    | 5, 6, 8          |
      | an answer that is not read           | 5    | 4, 5, 6, 8       |
      | an idle connection                   | 4    | 2, 4, 5, 6, 8    |
      | a caller that has just connected     | 3    | 0, 2, 4, 5, 6, 8 |
      | all but requests and their answers   | 1    | 0, 2, 4, 5, 6, 7, 8 |

  Scenario: Memory is a bound, too
    Given callers that may have 100 connections and 500000 bytes
    When these connections are open
      | address | phase   | waited | given | held   |
      | a       | silent  | 20     | 0     | 0      |
      | b       | answer  | 5000   | 0     | 300000 |
      | b       | answer  | 6000   | 0     | 300000 |
    Then these are closed: 2

  Scenario: Callers of one address leave room for others
    Given callers that may have 4 connections and 10000000 bytes, half for each address
    When these connections are open
      | address | phase   | waited | given | held   |
      | a       | silent  | 9000   | 0     | 0      |
      | b       | silent  | 1000   | 0     | 0      |
      | b       | silent  | 3000   | 0     | 0      |
      | b       | silent  | 2000   | 0     | 0      |
    Then these are closed: 2
