Feature: Choice of a target

  Scenario Outline: Placement weighs residency against the queue
    Given placement has 4 targets with 16 places
    And placement target <holder> holds adapter 7 and has <load> attempts
    When placement places adapter 7
    Then placement chose <outcome>

    Examples:
      | holder | load | outcome        |
      | t2     | 0    | target t2      |
      | t2     | 12   | target t2      |
      | t2     | 40   | another target |

  Scenario: Placement of a cold adapter has the same home at entries with other views
    # Guards against several entries loading one cold adapter on several targets.
    Then placement of 10 entries that see other loads puts 300 cold adapters on few homes

  Scenario: Placement of ten entries with stale reports doesn't flood one idle target
    Then placement of 10 entries with one stale idle report keeps every target under twice its share

  Scenario: Placement refuses when all targets are full or excluded
    Given placement has 2 targets with 1 places
    Then placement finds no target once both are full or excluded

  Scenario: Placement keeps true counts for any order of events
    # Guards against counts that drift when reports arrive late or out of order.
    Then placement counts agree with a plain recount for any events

  Scenario: Placement forgets removed targets
    Then placement index agrees with a plain recomputation after any updates

  Scenario: Placement accepts a target that announces no places
    # Guards against a division by zero when an engine is changing its role.
    Then placement survives a view without places
