Feature: System: processes that end, pause and race
  A booking is a non-idempotent request. The engines' journals must show that none was
  executed twice.

  Background:
    Given system of 2 entries runs

  # Guards against a second execution of a booking whose agent was killed.
  Scenario: the agent is killed while a booking runs
    When system has a booking in progress
    And the system's agent that runs the booking is killed
    And the system's agent that runs the booking is restarted
    And system receives the booking again at each entry
    Then system refused the booking with an unknown outcome
    And the system's engines executed it 1 time
    And system answers 8 requests at each entry

  # Guards against two agents that send orders to one engine, and against a booking that
  # fails because its agent was paused.
  Scenario: the agent is paused longer than its lease while a booking runs
    When system has a booking in progress
    And the system's agent that runs the booking is paused longer than its lease
    Then no other process takes the address of the system's agent
    When the system's agent that runs the booking is resumed
    And system receives the booking again at each entry
    Then system returned the booking's answer each time
    And the system's engines executed it 1 time
    And the system's engines saw no unload of an adapter in use

  # Guards against a booking that is lost, or executed again, when its entry is killed.
  Scenario: the entry is killed while a booking runs
    When system has a booking in progress
    And the system's entry-1 is killed
    And system receives the booking again at entry-2
    Then system returned the booking's answer each time
    And the system's engines executed it 1 time

  # Guards against two executions when a caller sends a booking to both entries at once.
  Scenario: two entries race with one key
    When system receives a booking at both entries at once
    Then system returned the booking's answer each time
    And the system's engines executed it 1 time

  # Guards against answering a booking with the answer to another one.
  Scenario: the same idempotency key with another body
    When system receives a booking
    And system receives another booking with its key
    Then system refused it with 422 at step "claim", not executed
    And the system's engines executed it 0 times

  # Guards against streams that a rolling restart of the entries ends early.
  Scenario: SIGTERM on an entry with a stream
    When system receives a long stream and its first events
    And the system's entry-1 is told to stop
    And system's caller reads the stream to its end
    Then system's stream was complete and without repetition

  # Guards against callers whose requests are refused a connection, or lose the one that
  # they have, because an entry ends before its load balancer knows of the stop.
  Scenario: SIGTERM on an entry without open requests
    When system's caller keeps a connection to entry-1
    And the system's entry-1 is told to stop
    And the system's entry-1 is no longer ready
    Then system's entry-1 answers on that connection
    And system's entry-1 answers on 2 new connections

  # Guards against requests without any answer, because they outlast the stop time of
  # their entry and its supervisor ends it then.
  Scenario: SIGTERM on an entry whose stop time ends before a request
    Given the system's entry-1 has a stop time of 1 s
    And the system's engines are 5 times slower
    When system has a long one-shot request in progress
    And the system's entry-1 is told to stop and killed 5 s after its stop time
    Then system answers it with an unknown outcome because of "entry-stopped"
    And the system's engines executed it 1 time

  # Guards against an outcome that is recorded as unknown although an agent knows it.
  Scenario: SIGTERM on an entry whose stop time ends before a booking
    Given the system's entry-1 has a stop time of 1 s
    And the system's engines are 5 times slower
    When system has a booking in progress
    And the system's entry-1 is told to stop and killed 5 s after its stop time
    Then system answers it with an unknown outcome because of "entry-stopped"
    When system receives the booking again at entry-2
    Then system returned the booking's answer each time
    And the system's engines executed it 1 time

  # Guards against streams and queued requests that fail when their agent is told to stop,
  # and against new requests at its target.
  Scenario: SIGTERM on an agent with a stream and queued requests
    When system receives a long stream and its first events
    And system receives 40 requests at once
    And the system's agent that runs the stream is told to stop
    And system's caller reads the stream to its end
    Then system's stream was complete and without repetition
    And system answered them all
    And the system's draining target received no new requests

  # Guards against a request that crashes every engine, because it is retried on each.
  Scenario: a request that crashes engines is sent repeatedly
    When the system's engines crash on "poison"
    And system has 6 unrelated requests in progress
    And system receives a "poison" request 6 times over both entries
    Then the system's engines crashed at most 2 times
    And system refused the last of them as quarantined
    And system answered them all
