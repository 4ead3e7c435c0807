Feature: Choice of a target on the direct path

  # Load pattern: a steady peak; some engines have the adapter loaded and others are idle.
  Scenario Outline: Target choice weighs a loaded adapter against the load of its engine
    Given target choice of 3 engines
    And target choice engine "e1" has the adapter loaded and runs <running> requests
    Then target choice takes <target> for the adapter

    Examples:
      | running | target  |
      | 0       | e1      |
      | 20      | e1      |
      | 200     | another |

  # Load pattern: one adapter becomes so popular that prompts queue where it is loaded.
  Scenario Outline: Target choice gives a popular adapter a second engine
    # Guards against streams with a high inter-token latency because their engine runs one
    # prefill after another, while other engines are idle.
    Given target choice of 3 engines
    And target choice engine "e1" has the adapter loaded and <pending> prompts pending
    Then target choice takes <target> for the adapter

    Examples:
      | pending | target  |
      | 1       | e1      |
      | 2       | e1      |
      | 4       | another |

  # Load pattern: a deployment whose prompts are several times as long as usual.
  Scenario Outline: Target choice counts pending prompts by their length
    # Guards against long prompts that are counted with a third of their prefill time.
    Given target choice of 3 engines
    And target choice engine "e1" has the adapter loaded and 2 prompts of <tokens> tokens pending
    Then target choice takes <target> for the adapter

    Examples:
      | tokens | target  |
      | 1800   | e1      |
      | 6000   | another |

  # Load pattern: a popular adapter whose streams run for seconds.
  Scenario: Target choice counts a prompt as pending only until its first byte
    # Guards against running streams that count as pending prompts, so that their adapter is
    # loaded on another engine without need.
    Given target choice of 3 engines
    And target choice engine "e1" has the adapter loaded and runs 0 requests
    When target choice has sent 6 streams of 2000 tokens to "e1"
    Then target choice takes another for the adapter
    When target choice sees the first bytes of 6 streams at "e1"
    Then target choice takes e1 for the adapter

  # Load pattern: callers of all entries request rare adapters at the same time.
  Scenario: Target choice of entries with different views puts a cold adapter on the same engine
    # Guards against several engines that load the same rare adapter.
    Then target choice of 5 entries puts 200 cold adapters on 1.5 engines each at most

  Scenario: Target choice avoids an engine whose slots are all in use
    # Guards against a cold start that waits for a slot while another engine has a free one.
    Given target choice of 3 engines
    And target choice engine "e1" has no free slot
    And target choice engine "e2" has no free slot
    Then target choice takes e3 for the adapter

  # Load pattern: one target fails some of its requests although it looks healthy.
  Scenario: Target choice avoids a target that fails, and readmits it later
    Given target choice of 3 plain targets
    When target choice sees 8 failures at "p1"
    Then target choice takes another than "p1"
    And target choice may take "p1" again after 20 s without a failure

  Scenario: Target choice does not avoid targets when all of them fail alike
    # Guards against ejecting every target because the requests themselves cause failures.
    Given target choice of 3 plain targets
    When target choice sees 8 failures at each target
    Then target choice still ranks 3 targets

  # Load pattern: a short burst at one entry.
  Scenario: Target choice spreads a burst over equal plain targets
    Given target choice of 3 plain targets
    When target choice gets 30 requests at once
    Then target choice gave every target 8 to 12 of them

  Scenario: Target choice ignores a state report that was overtaken by a newer one
    # Guards against requests sent to an engine that has unloaded their adapter since.
    Given target choice of 3 engines
    When target choice gets report 5 of "e1" without the adapter, then report 4 with it
    Then target choice does not see the adapter at "e1"

  # Load pattern: many agents send each entry their state over a slow link.
  Scenario: State reports of 28 agents leave a link of 5 Mbit/s to the callers
    # Guards against state reports that use the bandwidth needed for answers.
    Then state reports of 28 agents with 30 cached adapters, 10 a second, take a seventh of it

  Scenario Outline: Target choice knows the cached adapters between two complete lists
    # Guards against loads from the weight store while an engine has the adapter in host
    # memory.
    Given target choice of 3 engines
    And target choice got a complete list of "e1" with the adapter as <listed>
    When target choice gets a report of "e1" without a list, <change>
    Then target choice sees the adapter at "e1" as <residency>

    Examples:
      | listed | change                   | residency |
      | held   | without the adapter      | recent    |
      | recent | without the adapter      | recent    |
      | recent | with the adapter         | held      |
      | other  | without the adapter      | cold      |
      | held   | after a restart          | cold      |
      | recent | after a restart          | cold      |

  Scenario: Hashes of adapters tell 10,000 adapters apart
    # Guards against hashes so short that engines seem to have adapters that they lack.
    Then hashes of 10000 adapters are all different but for 3 at most

  # Load pattern: engines send answers without end for as long as they are faulty.
  Scenario: Target choice avoids a target whose answers have no end for longer each time
    # Guards against a constant share of all requests that first go to such a target.
    Given target choice of 3 engines
    When target choice sees only answers of "e1" without end for 40 s
    Then target choice has tried "e1" 8 times and other targets otherwise

  Scenario: Target choice counts answers without end at the same time once
    # Guards against a target that is left alone for long because of one moment.
    Given target choice of 3 engines
    When target choice sees 30 answers of "e1" without end at once
    Then target choice uses "e1" again after 1 s

  Scenario: Target choice forgets answers without end once a target has ended one
    # Guards against a target that is left alone for long after it has become sound.
    Given target choice of 3 engines
    When target choice sees answers of "e1" without end 3 times and then a complete one
    Then target choice uses "e1" again 1 s after the next answer without end
