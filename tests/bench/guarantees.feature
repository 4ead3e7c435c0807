Feature: Guarantees over random schedules

  # Guards against any violation of G1 to G8 by the decision classes.
  Scenario: Guarantees hold over a few hundred schedules
    When guarantees are measured over 300 schedules of seed 1
    Then guarantees show no violation

  # Guards against a mechanism that does nothing, and against schedules that would not
  # notice its loss. The schedule is one that the mechanism decides; docs/TESTING.md says
  # how to find another after a change of the schedules.
  Scenario Outline: Guarantees depend on each mechanism
    Then guarantees with mutation <mutation> break <guarantee> in schedule <schedule>

    Examples:
      | mutation        | schedule | guarantee            |
      | tombstones      | 51       | g4_true_refusal      |
      | low-mark        | 35       | g5_at_most_once      |
      | execute-run     | 11       | g5_at_most_once      |
      | refuse-run      | 151      | g4_true_refusal      |
      | refuse-started  | 1        | g4_true_refusal      |
      | released        | 2        | g5_at_most_once      |
      | lowest-offset   | 0        | g5_at_most_once      |
      | claim-drop      | 295      | g4_true_refusal      |
      | unknown         | 114      | g5_at_most_once      |
      | minted-once     | 1        | g5_at_most_once      |
      | minted-run      | 68       | g5_at_most_once      |
      | answer-check    | 206      | g1_exact_adapter     |
      | pins            | 0        | g2_no_unload_in_use  |
      | old-list        | 172      | g2_no_unload_in_use  |
      | fencing         | 428      | g2_no_unload_in_use  |
      | fence-order     | 274      | g2_no_unload_in_use  |
      | pause-check     | 1330     | g2_no_unload_in_use  |
      | event-index     | 0        | g3_whole_answer      |
      | gaps            | 1        | g3_whole_answer      |
      | total           | 0        | g3_whole_answer      |
      | attempt-id      | 0        | g3_whole_answer      |
      | leaving-notice  | 3        | g6_leaving           |
      | state-sequence  | 10       | g6_leaving           |
      | host-list       | 21       | g6_leaving           |
      | host-list-age   | 267      | g6_leaving           |
      | release-wait    | 3        | g7_graceful_shutdown |
      | config-revision | 7        | g8_configuration     |
      | config-id       | 16       | g8_configuration     |
      | config-offset   | 6        | g8_configuration     |
