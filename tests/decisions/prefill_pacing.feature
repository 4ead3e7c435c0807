Feature: Prefill pacing of one engine

  # Load pattern: a peak in which prompts arrive faster than the engine prefills them.
  Scenario Outline: Prefill pacing limits the prompt tokens in prefill
    # Guards against requests that queue inside the engine, where they can't be reordered.
    Given prefill pacing of at most 4000 tokens
    And prefill pacing admitted prompts of <admitted> tokens
    Then prefill pacing has room for <tokens> tokens: <room>

    Examples:
      | admitted   | tokens | room |
      | 0          | 9000   | yes  |
      | 1500       | 2500   | yes  |
      | 1500       | 2600   | no   |
      | 2000, 2000 | 1      | no   |
      | 9000       | 1      | no   |

  Scenario Outline: Prefill pacing admits the next prompt when one no longer counts
    # Guards against an engine that stays idle because the message about a finished
    # prefill was lost.
    Given prefill pacing of at most 4000 tokens
    And prefill pacing admitted prompts of 3000 tokens
    When prefill pacing sees <event>
    Then prefill pacing has room for 3000 tokens: yes

    Examples:
      | event                     |
      | the end of the prefill    |
      | the end of the request    |
      | nothing for 1.5 s         |
      | a restart of the engine   |

  Scenario Outline: Prefill pacing learns the prefill rate of its engine
    # Guards against wrong estimates on engines that are faster or slower than the default.
    Given prefill pacing of at most 4000 tokens
    When prefill pacing sees 200 prefills of 2000 tokens that take <each> s each
    Then prefill pacing expects 2000 tokens to take <least> to <most> s

    Examples:
      | each | least | most |
      | 0.05 | 0.045 | 0.06 |
      | 0.2  | 0.18  | 0.22 |
