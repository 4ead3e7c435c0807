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

  # Guards against callers that wait for an answer without end until their deadline, and
  # against memory and work for bytes that no caller gets.
  Scenario Outline: Direct path answers at another target if one sends <step>
    Given direct path with a store, a configuration and two plain targets
    And direct path one target handles the next request as "<step>"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature
    And direct path closed the connection to the target of "r1" within 1.0 s
    And direct path counts <ends> answers without end

    Examples:
      | step             | ends |
      | endless-refusal  | 0    |
      | endless-unsigned | 0    |
      | endless-error    | 1    |
      | slow-error       | 1    |
      | endless-answer   | 1    |
      | endless-chunks   | 1    |

  # Guards against a stream that can't be answered otherwise any more, because it has begun
  # with events that say nothing, and against the work for them.
  Scenario Outline: Direct path resumes a stream although one engine sends <step>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path one target handles the next request as "<step>"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path delivered nothing but these events
    And direct path counts 1 answers without end

    Examples:
      | step                |
      | endless-event       |
      | endless-small-event |
      | endless-comments    |
      | endless-blank-lines |
      | endless-data        |

  # Guards against requests that end with 504 to the last second, because nothing avoids a
  # target whose answers begin and don't end before the deadline.
  Scenario: Direct path takes an answer that is late for a failure of its target
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "drip"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 504 with execution unknown
    And direct path counts 1 failure of a target

  # Guards against sound targets that are avoided because callers leave.
  Scenario: Direct path holds it against no target that a caller left during an answer
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "endless-answer"
    When direct path gets a GET to "/safe/x" whose caller leaves after 0.05 s
    Then direct path closed the connection to the target of "r1" within 1.0 s
    And direct path counts 0 answers without end

  # Guards against bytes of a sound stream that are lost, because they say nothing.
  Scenario: Direct path passes on what comes behind the last event
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path one target handles the next request as "last-comment"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path delivered a comment at the end

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

  # Guards against a request that ends without an answer, because a header of the answer
  # has a number that can't be converted. The target has run the request.
  Scenario Outline: Direct path passes on an answer with <header> of <number>
    Given direct path with a store, a configuration and two plain targets
    And direct path targets answer with "<header>" of <number>
    When direct path gets 4 GETs to "/safe/x"
    Then direct path answered all with 200

    Examples:
      | header        | number             |
      | X-Server-Load | nan,0,8            |
      | X-Server-Load | inf,0,8            |
      | X-Server-Load | 1e999,0,8          |
      | X-Server-Load | 1,0,8,nan          |
      | X-Server-Load | 1e308,1e308,1      |
      | X-Server-Load | -1,0,8             |
      | X-Server-Load | 0,0,5000 digits    |
      | X-Server-Load | 0,0,1e400          |
      | Keep-Alive    | timeout=nan        |
      | Keep-Alive    | timeout=-1         |
      | Keep-Alive    | timeout and 5000 digits |
      | Retry-After   | 5000 digits        |

  # Guards against an event id that ends the request with an unhandled exception, or that
  # no request to resume the stream can name.
  Scenario Outline: Direct path resumes a stream whose next event id has <digits> digits
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path one target handles the next request as "<step>"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path resumed after event 2

    Examples:
      | digits | step       |
      | 25     | long-id    |
      | 5000   | longest-id |
