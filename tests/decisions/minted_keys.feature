Feature: Minted idempotency keys

  # Guards against forged and changed keys.
  Scenario Outline: Minted keys are accepted only with a valid signature
    When minted key is verified after <change>
    Then minted key is <verdict>

    Examples:
      | change                          | verdict  |
      | no change                       | accepted |
      | another secret                  | refused  |
      | another incarnation             | refused  |
      | a truncated signature           | refused  |
      | other text                      | refused  |
      | a new secret beside the old one | accepted |

  # Guards against a second execution under one key, and against a full table that evicts
  # a key to make room for another. Offers are "TIME NONCE BODY ATTEMPT".
  Scenario Outline: Minted keys are executed once by their agent
    Given minted key table after <history>
    Then minted key table returns <result> for <offer>

    Examples:
      | history            | offer     | result      |
      | 0 nothing          | 0 n d t1  | RunAttempt  |
      | 0 n d t1           | 1 n d t2  | JoinAttempt |
      | 0 n d t1           | 1 n e t2  | KeyConflict |
      | 0 n d t1, 0 m d t2 | 1 o d t3  | TableFull   |
      | 0 n d t1, 0 m d t2 | 11 o d t3 | RunAttempt  |
