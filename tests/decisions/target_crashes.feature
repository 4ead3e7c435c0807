Feature: Which requests were running on a target when it ended

  # Guards against suspects of targets that only reset a connection, and against a crash
  # that is missed because its parts are learnt in another order, or under another name.
  Scenario Outline: Target crashes match lost connections with ended starts
    When target crashes get the events "<events>" of target "t"
    Then target crashes name the suspects <suspects>

    Examples:
      | events                               | suspects |
      | 0.0 lost 5                           | none     |
      | 0.0 lost 5, 0.1 ended 5              | t@5      |
      | 0.0 ended 5, 0.1 lost 5              | t@5      |
      | 0.0 lost 5, 3.5 ended 8              | t@5      |
      | 0.0 lost 5, 0.1 ended 4              | none     |
      | 0.0 ended 4, 0.1 lost 5              | none     |
      | 0.0 lost 5, 14.9 ended 5             | t@5      |
      | 0.0 lost 5, 15.1 ended 5             | none     |
      | 0.0 ended 5, 5.1 lost 5              | none     |
      | 0.0 lost 5, 0.1 ended 5, 0.2 ended 5 | t@5      |
      | 0.0 ended 8, 0.1 lost 5              | t@5      |

  # Guards against memory that connections take which targets reset for other reasons.
  Scenario: Target crashes keep a bounded number of losses and of ended starts
    Then target crashes keep at most 2000 of 5000 losses and 1000 of 3000 ended starts
