Feature: Minted idempotency keys

  Scenario Outline: Minted keys are accepted only as they were signed
    When minted key is checked after <change>
    Then minted key is <verdict>

    Examples:
      | change                          | verdict  |
      | no change                       | accepted |
      | another secret                  | refused  |
      | another run                     | refused  |
      | a cut signature                 | refused  |
      | other text                      | refused  |
      | a new secret beside the old one | accepted |

  # Guards against a second run under one key, and against forgetting a key when full.
  Scenario Outline: Minted keys run once at their agent
    Given minted key table after <history>
    Then minted key table says <answer> to <offer>

    Examples:
      | history            | offer     | answer      |
      | 0 nothing          | 0 n d t1  | RunAttempt  |
      | 0 n d t1           | 1 n d t2  | JoinAttempt |
      | 0 n d t1           | 1 n e t2  | KeyConflict |
      | 0 n d t1, 0 m d t2 | 1 o d t3  | TableFull   |
      | 0 n d t1, 0 m d t2 | 11 o d t3 | RunAttempt  |
