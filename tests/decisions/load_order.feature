Feature: Order of adapter loads and lengths of answers

  Scenario Outline: Load order prefers many waiting requests, then age
    Given load order has demands <first> and <second>
    Then load order picks <chosen>

    Examples:
      | first                 | second                | chosen |
      | a 1 waiting since 9 s | b 3 waiting since 9 s | b      |
      | a 1 waiting since 0 s | b 3 waiting since 9 s | a      |
      | a 9 deferrable        | b 1 waiting since 9 s | b      |

  Scenario: Load order makes one load per adapter and waits after a failure
    # Guards against doubled loads and against a failing load that blocks the others.
    Then load order skips adapters in flight and failed ones until their retry

  Scenario: Length estimates follow usual answers and grow with running ones
    # Guards against one long answer that makes an adapter's next work count as long.
    Then length estimates stay usual after one long answer and double while running
