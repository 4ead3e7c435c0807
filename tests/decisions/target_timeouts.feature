Feature: Timeouts at a target while another target may take over

  # Guards against streams that are moved to another target during a gap that their route
  # allows, and against callers that disconnect before a stalled stream is moved.
  Scenario Outline: Target timeouts follow the objective, the time left and the longest gap
    Then target timeouts for an objective of <objective> s, gaps of <gap> s and <left> s left are <first_byte> s, then <event_gap> s

    Examples:
      | objective | gap | left | first_byte | event_gap |
      | 1.0       | 0.4 | 5.0  | 2.0        | 1.3       |
      | 1.0       | 0.4 | 2.0  | 1.2        | 1.3       |
      | 1.0       | 2.0 | 5.0  | 2.0        | 6.0       |
      | 0.2       | 0.1 | 1.0  | 0.4        | 1.3       |
