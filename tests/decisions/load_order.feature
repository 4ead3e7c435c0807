Feature: Order of adapter loads, and estimates of answer lengths

  Scenario Outline: Load order prefers adapters with many requests, then with old ones
    Given load order has demands <first> and <second>
    Then load order picks <chosen>

    Examples:
      | first                 | second                | chosen |
      | a 1 waiting since 9 s | b 3 waiting since 9 s | b      |
      | a 1 waiting since 0 s | b 3 waiting since 9 s | a      |
      | a 9 deferrable        | b 1 waiting since 9 s | b      |

  Scenario: Load order starts one load per adapter and backs off after a failure
    # Guards against duplicate loads and against a failing load that blocks the others.
    Then load order skips adapters in flight and failed ones until their retry

  Scenario: Length estimates follow usual answers and grow with running ones
    # Guards against one long answer after which the next work of its adapter counts as long.
    Then length estimates change little after one long answer and double while running
