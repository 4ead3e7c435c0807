Feature: Guarantees over random schedules of faults

  # Guards against decision classes that violate one of the guarantees G1 to G8, for
  # example after a crash, a pause, a lost message or an outage of the log.
  Scenario: Guarantees hold over 300 random schedules
    When guarantees are measured over 300 schedules of seed 1
    Then guarantees show no violation

  # Guards against a mechanism that has no effect, and against schedules that would not
  # detect its loss. Each example turns one mechanism off in a schedule whose result
  # depends on it. docs/TESTING.md says how to find another such schedule after the
  # schedules have changed.
  Scenario Outline: Guarantees depend on each mechanism
    Then guarantees with mutation <mutation> violate <guarantee> in schedule <schedule>

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
