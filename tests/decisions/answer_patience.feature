Feature: Patience with a target while another may take over

  # Guards against streams that are moved during a pause which their route allows, and
  # against callers who leave before a stalled stream goes on elsewhere.
  Scenario Outline: Patience follows the objective, the time left and the longest pause
    Then patience of objective <objective> s, pause <pause> s and <left> s left is <first> s, then <gap> s

    Examples:
      | objective | pause | left | first | gap |
      | 1.0       | 0.4   | 5.0  | 2.0   | 1.3 |
      | 1.0       | 0.4   | 2.0  | 1.2   | 1.3 |
      | 1.0       | 2.0   | 5.0  | 2.0   | 6.0 |
      | 0.2       | 0.1   | 1.0  | 0.4   | 1.3 |
