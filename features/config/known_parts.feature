Feature: What is known of a configuration does not change the verdict on the next

  Scenario Outline: Random changes to the files of <site>
    Given a loader that follows the configuration of "<site>"
    When 400 random changes are loaded one after the other with seed 3
    Then each gives what a fresh load of the same files gives
    And some were accepted and some were refused

    Examples: both sites
      | site     |
      | helvetia |
      | amakusa  |
