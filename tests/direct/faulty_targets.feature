Feature: Faulty answers of targets on the direct path

  # Guards against callers that are told "not run" although their request runs: a faulty
  # target repeats an earlier refusal on a connection that is in use again.
  Scenario Outline: Direct path takes no repeated refusal for the answer on a kept connection
    Given direct path with a store, a configuration and two plain targets
    And direct path has kept connections to both targets
    And direct path targets handle the next request as "<step>"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers <status>
    And direct path never said that "r1" did not run
    And direct path request "r1" ran 1 time

    Examples:
      | step            | status |
      | stale-refusal   | 200    |
      | unnamed-refusal | 502    |

  # Guards against memory and processor time that bytes without end take, and against
  # callers that wait for their deadline because of them.
  Scenario Outline: Direct path gives up on bytes without end
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "<step>"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 502 with execution unknown
    And direct path closed the connection to the target of "r1" within 1.0 s

    Examples:
      | step            |
      | endless-head    |
      | endless-interim |
      | endless-body    |

  Scenario: Direct path gives up on an event without end
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path targets handle the next request as "endless-event"
    When direct path gets a stream from "/stream-once/x" for adapter "a1"
    Then direct path closed the connection to the target of "r1" within 1.0 s
    And direct path request "r1" ran 1 time

  # Guards against stalled answers that never end because a byte arrives now and then.
  Scenario: Direct path resumes a stream whose engine only sends single bytes
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path one target handles the next request as "drip"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path resumed after event 2

  Scenario: Direct path retries a one-shot request whose target only sends single bytes
    Given direct path with a store, a configuration and two plain targets
    And direct path one target handles the next request as "drip"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature
