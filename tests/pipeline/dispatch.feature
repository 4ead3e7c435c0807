Feature: Dispatch retries attempts that a restarted agent refuses

  # Guards against a 502 for idempotent work that is sent before the entry knows of
  # restarted agents. A new agent incarnation refuses attempts addressed to the former
  # one; a request that arrives only then can't have ended the former one and is no
  # suspect.
  Scenario Outline: Dispatch gives up on the second failure that the request may have caused
    Given dispatch has 3 targets, of which the first 2 fail with <failure>
    When dispatch runs <work> work
    Then dispatch ends with <result> after <attempts> attempts, <suspicion>

    Examples:
      | failure                                      | work           | result | attempts | suspicion   |
      | unknown meant for another agent incarnation  | idempotent     | 200    | 3        | unsuspected |
      | unknown meant for another agent incarnation  | non-idempotent | 502    | 1        | unsuspected |
      | unknown agent restarted                      | idempotent     | 502    | 2        | suspected   |
      | unknown answer-mismatch                      | idempotent     | 200    | 3        | unsuspected |
      | no leaving                                   | non-idempotent | 200    | 3        | unsuspected |
      | unknown shutdown                             | idempotent     | 502    | 2        | suspected   |

  # Guards against work that is sent once more by an entry that is about to end.
  Scenario: Dispatch retries no attempt that its entry's stop ends
    Given dispatch has 3 targets, of which the first 2 fail with unknown entry-stopped
    When dispatch runs idempotent work
    Then dispatch ends with 502 after 1 attempts, unsuspected

  # Guards against streams that end early and leave no trace: once the status line is
  # sent, no refusal is logged.
  Scenario Outline: Dispatch logs why a stream ended early
    Given dispatch has a target that begins a stream
    When dispatch's stream ends after its first event because <cause>
    Then dispatch's stream has told its caller <told>
    And dispatch has logged "<line>" for the request with the reason "<reason>"

    Examples:
      | cause                   | told             | line                          | reason        |
      | its target fails        | target-failed    | stream ended early            | target-failed |
      | its entry stops         | entry-stopped    | stream ended early            | entry-stopped |
      | its caller is gone      | nothing          | stream ended early            | caller gone   |
      | an error is not handled | internal         | unexpected error in a stream  | ValueError    |
