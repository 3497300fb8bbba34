Feature: Cached parts of a configuration do not affect the result of the next load

  Scenario Outline: Random changes to the files of <site>
    Given a loader that has loaded the configuration of "<site>"
    When 400 random changes are loaded one after the other with seed 3
    Then each gives the same result as a new loader
    And some were accepted and some were rejected

    Examples: both sites
      | site     |
      | helvetia |
      | amakusa  |
