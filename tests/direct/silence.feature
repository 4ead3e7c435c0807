Feature: Targets that fall silent for a moment

  # Pattern: a sound target sends nothing for a second or two, beside planned work or a
  # crest at which no other target takes its requests.

  Scenario Outline: Direct path keeps a stream whose engine falls silent while no other takes it
    # Guards against a stream that is given up before another engine takes it over, and is cut
    # although its engine goes on.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e2" <other>
    And direct path engine "e1" handles the next request as "pause"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 1 time

    Examples:
      | other                |
      | has left             |
      | has no slot free     |
      | loads for 1.2 s      |
      | has left, and "e1" is back under another id |

  Scenario: Direct path keeps a request whose target is silent before it answers
    # Guards against a failure that is reported before the deadline, although the only target
    # was about to answer.
    Given direct path with a store, a configuration and two plain targets
    And direct path has one plain target left, which answers after 1.8 s
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature

  Scenario: Direct path moves a stream whose engine stays silent to the engine that takes it
    # Guards against a stream that waits for its silent engine although another is ready.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "stall"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path resumed after event 2
    And direct path stream is cancelled at its engine within 1.5 s

  Scenario: Direct path moves a stream whose silent engine ends while another engine loads
    # Guards against a retry whose answer from the agent is lost, because the search that it
    # replaces takes the pending request and the pin of the same target with it.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e2" loads for 0.4 s
    And direct path engine "e1" handles the next request as "stall"
    And direct path engine "e1" ends 1.55 s later
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely

  Scenario: Direct path sends a request that a silent engine rejects late to one that loads
    # Guards against the same where the silent engine rejects the request at last.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e2" loads for 0.4 s
    And direct path engine "e1" handles the next request as "late full"
    And direct path engine "e1" answers after 1.45 s
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
