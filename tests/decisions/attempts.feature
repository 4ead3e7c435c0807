Feature: Table of attempts

  # Guards against an attempt that runs after it was refused, because a delayed copy
  # arrives, and against an attempt that runs twice.
  Scenario Outline: Attempts apply a decision to later copies of the attempt
    Given attempts after <history>
    Then attempts decide on <request> with <result>

    Examples:
      | history                            | request              | result                   |
      | nothing                            | offer e-1                    | Enqueue                  |
      | nothing                            | offer-other-incarnation e-1  | PermanentRefusal unknown |
      | refuse e-1                         | offer e-1                    | PermanentRefusal no      |
      | offer e-1                          | refuse e-1                   | Refused                  |
      | offer e-1                          | query e-1                    | Running                  |
      | nothing                            | query e-1                    | Refused                  |
      | nothing                            | refuse-other-incarnation e-1 | MayHaveRun               |
      | offer e-1, start e-1               | refuse e-1                   | Running                  |
      | run e-1                            | offer e-1                    | AlreadyKnown answer      |
      | run e-1, release e-1               | offer e-1                    | AlreadyKnown             |
      | run e-1, release e-1               | refuse e-1                   | MayHaveRun               |
      | run e-1, run e-2, run e-3, run e-4 | offer e-1                    | PermanentRefusal unknown |
      | run e-1, refuse e-2, refuse e-3, refuse e-4, refuse e-5 | offer e-2                    | PermanentRefusal no      |
      | offer e-9, refuse e-1, refuse e-2, refuse e-3, refuse e-4 | refuse e-9                   | Refused                  |

  # Guards against kept answers that exhaust the memory of the agent.
  Scenario: Attempts evict the oldest answer beyond the byte limit
    Given attempts after run e-1, run e-2, run e-3
    Then attempts keep 20 bytes of answers
    And attempts decide on offer e-1 with AlreadyKnown

  # Guards against sequences of calls after which an attempt runs twice, or is reported as
  # not run although it ran.
  Scenario: Attempts agree with reference sets over random histories
    Then attempts never run twice, are never reported as not run after they ran, and stay bounded
