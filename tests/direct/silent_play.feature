Feature: Silent targets beside planned changes

  Targets fall silent for up to 2.5 s and go on, while the configuration changes, targets leave
  and come, entries are stopped and started, and at a crest adapter slots and places are full.

  # Guards against a request that ends early because the target that takes over from a silent one
  # refuses it, and against one that beside all this is cut, run twice or left without an answer.
  Scenario Outline: Direct path answers every request although targets fall silent
    When direct path plays silent targets beside planned changes with seed <seed> for 8 s
    Then direct path served at least 50 requests of the play, and broke no rule

    Examples:
      | seed |
      | 3    |
      | 4    |
