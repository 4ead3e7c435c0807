Feature: Prompts that one engine reads at a time

  # Load pattern: a crest in which prompts come faster than the engine reads them.
  Scenario Outline: Prompt pacing lets prompts through in turn
    # Guards against a queue at the engine, whose order nobody can change any more.
    Given prompt pacing of 4000 tokens at a time
    And prompt pacing let through prompts of <reading> tokens
    Then prompt pacing has room for <tokens> tokens: <room>

    Examples:
      | reading    | tokens | room |
      | 0          | 9000   | yes  |
      | 1500       | 2500   | yes  |
      | 1500       | 2600   | no   |
      | 2000, 2000 | 1      | no   |
      | 9000       | 1      | no   |

  Scenario Outline: Prompt pacing lets the next prompt through when one no longer counts
    # Guards against an engine that stands idle because a notice was lost.
    Given prompt pacing of 4000 tokens at a time
    And prompt pacing let through prompts of 3000 tokens
    When prompt pacing sees <event>
    Then prompt pacing has room for 3000 tokens: yes

    Examples:
      | event                          |
      | that the prompt was read       |
      | the end of the request         |
      | nothing for 1.5 s              |
      | that the engine started anew   |

  Scenario Outline: Prompt pacing learns how fast its engine reads
    # Guards against a wrong expectation on engines that are faster or slower than usual.
    Given prompt pacing of 4000 tokens at a time
    When prompt pacing sees 200 prompts of 2000 tokens read in <each> s each
    Then prompt pacing expects 2000 tokens to take <least> to <most> s

    Examples:
      | each | least | most |
      | 0.05 | 0.045 | 0.06 |
      | 0.2  | 0.18  | 0.22 |
