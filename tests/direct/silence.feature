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

  Scenario Outline: Direct path keeps a stream whose engine pauses when its replacement answers "<step>"
    # Guards against a stream whose sound engine is given up for one that was only prepared,
    # so that it is aborted when that one does not continue it.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path engine "e2" handles the next request as "<step>"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" <runs>

    Examples:
      | step     | runs    |
      | full     | 1 time  |
      | error    | 2 times |
      | unproved | 2 times |
      | lost     | 2 times |
      | hang     | 2 times |

  Scenario Outline: Direct path keeps a stream whose engine pauses when its replacement sends <answer>
    # Guards against the same where the other engine begins an answer that can't continue it.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path next target answers the resumed stream with <answer>
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path delivered nothing but events

    Examples:
      | answer                              |
      | 200 and JSON with a proof           |
      | 200 and an empty page with a proof  |
      | events from the first on            |
      | an event in part                    |
      | a head that is cut off              |

  Scenario: Direct path gives the replacement up when the paused engine goes on
    # Guards against two engines that both continue one stream, or both work on it.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path engine "e1" pauses for 1.6 s and takes 0.2 s per event
    And direct path engine "e2" answers after 0.6 s
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 2 times
    And direct path request "r1" is cancelled at engine "e2"
    And direct path agent of "e2" has released the request "r1"

  Scenario: Direct path keeps the adapter of a silent engine whose host is listed anew
    # Guards against a replacement at the same host, whose end releases the adapter that the
    # silent engine still uses.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e2" has left, and "e1" is back under another id
    And direct path engine "e1" handles the next request as "pause"
    When direct path gets a stream for adapter "a1" and looks at the agent of "e1" 1.7 s later
    Then direct path agent had pinned the adapter of the request
    And direct path delivered the events 1 to 5 completely

  Scenario: Direct path goes on at the replacement when the silent engine ends
    # Guards against a second search, or a stream that is aborted, although another engine is
    # working on the request already.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "stall"
    And direct path engine "e1" ends 1.55 s later
    And direct path engine "e2" answers after 0.5 s
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 2 times

  Scenario Outline: Direct path keeps a request whose target pauses when its replacement answers "<step>"
    # Guards against a failure of the other target that ends a request whose first target is
    # about to answer.
    Given direct path with a store, a configuration and two plain targets
    And direct path first target of the next request answers after 1.9 s, the other one as "<step>"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature
    And direct path ran request "r1" <runs>

    Examples:
      | step     | runs    |
      | full     | 1 time  |
      | error    | 2 times |
      | unproved | 2 times |
      | lost     | 2 times |
      | hang     | 2 times |

  Scenario: Direct path sends no stream that may run once to a second engine during a pause
    # Guards against non-idempotent work that runs twice because its target was silent.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path engines handle the next request as "pause"
    When direct path gets a stream from "/stream-once/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 1 time

  Scenario: Direct path sends no request that may run once to a second target during a pause
    # Guards against the same for requests of plain services.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets answer after 1.9 s
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 200 with the target's body and signature
    And direct path ran request "r1" 1 time

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

  Scenario: Direct path keeps an answer that is complete right before the deadline
    # Guards against a complete answer that is cut off, because the deadline passes before the
    # entry has noticed that the attempt has ended.
    Given direct path with a store, a configuration and two plain targets
    And direct path notices the end of an attempt 0.6 s late
    When direct path gets two requests to "/safe/x" with a deadline of 0.4 s on one connection
    Then direct path answered both requests on the connection

  Scenario: Direct path tries no more targets than the route allows when the paused engine breaks
    # Guards against an attempt beyond the route's number, because one that was superseded
    # counted as one that may still answer.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has a third engine
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" pauses for 1.6 s in the next stream, goes on with one event and leaves the next one out
    And direct path engine "e2" answers after 0.6 s
    And direct path engine "e3" answers after 0.6 s
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 3 and aborted
    And direct path ran request "r1" 2 times

  Scenario Outline: Direct path begins no attempt for a request that ends
    # Guards against an attempt that nothing ends, and that may write into the answer to the
    # next request on the connection, because a target stalls right when its request ends.
    Given direct path open attempts with one attempt and <search> search
    When direct path open attempts are closed while the attempt stalls
    Then direct path open attempts search no more

    Examples:
      | search |
      | no     |
      | a      |

  Scenario: Direct path holds it against no sound engine that another one was faster
    # Guards against requests that avoid an engine which was asked to take over and was given
    # up because the paused engine went on.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path engine "e1" pauses for 1.6 s and takes 0.2 s per event
    And direct path engine "e2" answers after 0.6 s
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path counts no failure of engine "e2"

  Scenario: Direct path goes on at an engine that was silent when the request came
    # Guards against a stream that is aborted because its engine stays silent, although one
    # that was silent before for a moment could take it.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" is unresponsive until 0.4 s after the next request
    And direct path engine "e2" handles the next request as "stall"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 2 times

  Scenario: Direct path ends all other attempts of three when the paused engine goes on
    # Guards against attempts that are neither ended nor released when three are open, and
    # against the release of the adapter that the first one still uses.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has a third engine and a route with 3 attempts
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path engine "e1" pauses for 2.3 s and takes 0.05 s per event
    And direct path engine "e2" handles the next request as "hang"
    And direct path engine "e3" handles the next request as "hang"
    When direct path gets a stream for adapter "a1" and looks at the agent of "e1" 2.35 s later
    Then direct path agent had pinned the adapter of the request
    And direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 3 times
    And direct path request "r1" is cancelled at engine "e2"
    And direct path request "r1" is cancelled at engine "e3"
    And direct path agent of "e1" has released the request "r1"
    And direct path agent of "e2" has released the request "r1"
    And direct path agent of "e3" has released the request "r1"

  Scenario Outline: Direct path ends all attempts when the caller leaves after <leave_s> s
    # Guards against engines that go on, and adapters that stay pinned, for a caller that left
    # while an adapter was being loaded for another attempt, or while two were open.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e2" loads for 0.4 s
    And direct path engine "e1" handles the next request as "stall"
    And direct path engine "e2" handles the next request as "hang"
    When direct path caller of a stream for adapter "a1" leaves after <leave_s> s
    Then direct path ran request "r1" <runs>
    And direct path request "r1" is cancelled at engine "e1"
    And direct path agent of "e1" has released the request "r1"
    And direct path agent of "e2" has released the request "r1"
    And direct path counts no request in flight

    Examples:
      | leave_s | runs    |
      | 1.5     | 1 time  |
      | 2.1     | 2 times |

  Scenario: Direct path keeps a stream whose engine pauses when the search for another one fails
    # Guards against an error of the entry's own in the search for another engine, which
    # closes the connection of a request that its engine goes on with.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path fails to search another target
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path ran request "r1" 1 time

  Scenario: Direct path keeps a request when reading the other target's answer fails
    # Guards against an error of the entry's own in one attempt, which closes the connection
    # of a request that its engine goes on with.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e1" only
    And direct path engine "e1" handles the next request as "pause"
    And direct path fails to read the answers of engine "e2"
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely

  Scenario: Direct path answers a request that may run once when reading its answer fails
    # Guards against the same where no other attempt is allowed: the caller gets no answer.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has "a1" loaded on "e2" only
    And direct path fails to read the answers of engine "e2"
    When direct path gets a stream from "/stream-once/x" for adapter "a1"
    Then direct path answers 502 with execution unknown
