Feature: Placement of attempts

  Scenario Outline: Placement weighs a loaded adapter against the queue
    Given placement has 4 targets with 16 batch slots
    And placement target <loaded> has adapter 7 loaded and has <load> attempts
    When placement places adapter 7
    Then placement chose <outcome>

    Examples:
      | loaded | load | outcome        |
      | t2     | 0    | target t2      |
      | t2     | 12   | target t2      |
      | t2     | 40   | another target |

  Scenario: Placement of a cold adapter is the same at entries with different views
    # Guards against several entries that load one cold adapter on several targets.
    Then placement of 10 entries with different views puts 300 cold adapters on few targets

  Scenario: Placement of ten entries with stale reports doesn't flood one idle target
    Then placement of 10 entries with one stale idle report keeps every target under twice its share

  Scenario: Placement finds no target when all targets are full or excluded
    Given placement has 2 targets with 1 batch slots
    Then placement finds no target once both are full or excluded

  Scenario: Placement keeps true counts for any order of events
    # Guards against counts that drift when state reports arrive late or out of order.
    Then placement counts agree with a reference count for any events

  Scenario: Placement drops removed targets from its index
    Then placement index agrees with a reference index after any updates

  Scenario: Placement accepts a target that announces no batch slots
    # Guards against a division by zero while an engine changes its role.
    Then placement accepts a view without batch slots
