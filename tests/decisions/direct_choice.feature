Feature: Choice of a target on the direct path

  # Load pattern: a steady crest; the adapter is held by some engines and others are free.
  Scenario Outline: Target choice weighs a held adapter against load
    Given target choice of 3 engines
    And target choice engine "e1" holds the adapter and has <running> requests
    Then target choice takes <target> for the adapter

    Examples:
      | running | target  |
      | 0       | e1      |
      | 20      | e1      |
      | 200     | another |

  # Load pattern: one adapter becomes so popular that prompts pile up where it is held.
  Scenario Outline: Target choice gives a crowded adapter a second engine
    # Guards against streams that pause because their engine reads prompt after prompt,
    # while other engines have nothing to read.
    Given target choice of 3 engines
    And target choice engine "e1" holds the adapter and has <waiting> prompts to read
    Then target choice takes <target> for the adapter

    Examples:
      | waiting | target  |
      | 1       | e1      |
      | 2       | e1      |
      | 4       | another |

  # Load pattern: a deployment whose prompts are several times as long as usual.
  Scenario Outline: Target choice counts waiting prompts by their length
    # Guards against waiting prompts that are taken for a third of what they are.
    Given target choice of 3 engines
    And target choice engine "e1" holds the adapter and reads 2 prompts of <tokens> tokens
    Then target choice takes <target> for the adapter

    Examples:
      | tokens | target  |
      | 1800   | e1      |
      | 6000   | another |

  # Load pattern: a popular adapter whose streams run for seconds.
  Scenario: Target choice counts a prompt as waiting only until its answer begins
    # Guards against running streams that are taken for prompts still to be read, so that
    # their adapter is loaded elsewhere without need.
    Given target choice of 3 engines
    And target choice engine "e1" holds the adapter and has 0 requests
    When target choice has sent 6 streams of 2000 tokens to "e1"
    Then target choice takes another for the adapter
    When target choice sees the first bytes of 6 streams at "e1"
    Then target choice takes e1 for the adapter

  # Load pattern: rare adapters asked for at once by callers of all entries.
  Scenario: Target choice of entries with other loads puts a cold adapter on the same engine
    # Guards against several engines that load one rare adapter each.
    Then target choice of 5 entries puts 200 cold adapters on 1.5 engines each at most

  Scenario: Target choice leaves an engine whose slots are all in use
    # Guards against a cold start that waits behind running work while a slot is free.
    Given target choice of 3 engines
    And target choice engine "e1" has no free slot
    And target choice engine "e2" has no free slot
    Then target choice takes e3 for the adapter

  # Load pattern: one target fails a part of its requests while it looks healthy.
  Scenario: Target choice turns away from a target that fails, and comes back
    Given target choice of 3 plain targets
    When target choice sees 8 failures at "p1"
    Then target choice takes another than "p1"
    And target choice may take "p1" again after 20 s without a failure

  Scenario: Target choice does not turn away when all targets fail alike
    # Guards against ejecting everything because answers themselves are failures.
    Given target choice of 3 plain targets
    When target choice sees 8 failures at each target
    Then target choice still ranks 3 targets

  # Load pattern: a short burst at one entry.
  Scenario: Target choice spreads a burst over equal plain targets
    Given target choice of 3 plain targets
    When target choice gets 30 requests at once
    Then target choice gave every target 8 to 12 of them

  Scenario: Target choice ignores an old state that was overtaken
    # Guards against work sent to an adapter that was unloaded since.
    Given target choice of 3 engines
    When target choice gets state 5 of "e1" without the adapter, then state 4 with it
    Then target choice does not see the adapter at "e1"

  # Load pattern: many agents tell each entry their state over a weak link.
  Scenario: States of 28 agents leave a link of 5 Mbit/s to the callers
    # Guards against control traffic that takes the link from answers.
    Then states of 28 agents with 30 recent adapters, 10 a second, take a seventh of it

  Scenario Outline: Target choice knows what loads fast between two whole lists
    # Guards against loads from the weight store while an engine has the adapter at hand.
    Given target choice of 3 engines
    And target choice got a whole list of "e1" with the adapter as <listed>
    When target choice gets a state of "e1" without a list, <change>
    Then target choice sees the adapter at "e1" as <residency>

    Examples:
      | listed | change                   | residency |
      | held   | without the adapter      | recent    |
      | recent | without the adapter      | recent    |
      | recent | with the adapter         | held      |
      | other  | without the adapter      | cold      |
      | held   | of a new start           | cold      |
      | recent | of a new start           | cold      |

  Scenario: Marks of adapters tell 10,000 adapters apart
    # Guards against a mark so short that engines seem to hold what they don't.
    Then marks of 10000 adapters are all different but for 3 at most
