Feature: Table of attempts

  # Guards against a refusal that a delayed copy makes untrue, and against a second run.
  Scenario Outline: Attempts keep what was said of an attempt
    Given attempts after <history>
    Then attempts answer <question> with <answer>

    Examples:
      | history                            | question      | answer                   |
      | nothing                            | offer e-1     | Enqueue                  |
      | nothing                            | other-run e-1 | PermanentRefusal unknown |
      | refuse e-1                         | offer e-1     | PermanentRefusal no      |
      | offer e-1                          | refuse e-1    | Refused                  |
      | offer e-1                          | query e-1     | Running                  |
      | nothing                            | query e-1     | Refused                  |
      | nothing                            | foreign e-1   | MayHaveRun               |
      | offer e-1, start e-1               | refuse e-1    | Running                  |
      | run e-1                            | offer e-1     | AlreadyKnown answer      |
      | run e-1, release e-1               | offer e-1     | AlreadyKnown             |
      | run e-1, release e-1               | refuse e-1    | MayHaveRun               |
      | run e-1, run e-2, run e-3, run e-4 | offer e-1     | PermanentRefusal unknown |
      | run e-1, refuse e-2, refuse e-3, refuse e-4, refuse e-5 | offer e-2     | PermanentRefusal no      |
      | offer e-9, refuse e-1, refuse e-2, refuse e-3, refuse e-4 | refuse e-9    | Refused                  |

  # Guards against answers that grow beyond the bound of memory.
  Scenario: Attempts drop the oldest answer beyond the bound of bytes
    Given attempts after run e-1, run e-2, run e-3
    Then attempts keep 20 bytes of answers
    And attempts answer offer e-1 with AlreadyKnown

  Scenario: Attempts agree with a plain set over random histories
    Then attempts never run twice, never refuse untruly and stay bounded
