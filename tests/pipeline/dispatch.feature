Feature: Dispatch retries what an agent's restart refused

  # Guards against a 502 for repeatable work that arrives before an entry has heard of
  # restarted agents: the first message that a new agent run gets can't have ended the
  # former run, so the request is no suspect.
  Scenario Outline: Dispatch gives up on the second failure that the request may have caused
    Given dispatch has 3 targets, of which the first 2 answer <answer>
    When dispatch runs <work> work
    Then dispatch ends with <result> after <sends> sends, <suspicion>

    Examples:
      | answer                                       | work           | result | sends | suspicion   |
      | unknown meant for another agent incarnation  | idempotent     | 200    | 3     | unsuspected |
      | unknown meant for another agent incarnation  | non-idempotent | 502    | 1     | unsuspected |
      | unknown agent restarted                      | idempotent     | 502    | 2     | suspected   |
      | unknown answer-mismatch                      | idempotent     | 200    | 3     | unsuspected |
      | no leaving                                   | non-idempotent | 200    | 3     | unsuspected |
