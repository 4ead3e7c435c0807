Feature: System: processes that end, pause and race
  Bookings are compared with the engines' journals: none may run twice.

  Background:
    Given system of 2 entries runs

  # Guards against a second run of a booking whose agent is gone.
  Scenario: the agent is killed while a booking runs
    When system has a booking under way
    And the system's agent of the booking is killed
    And the system's agent of the booking starts again
    And system gets the booking again at each entry
    Then system refused the booking as unknown
    And the system's engines ran it 1 time
    And system answers 8 requests at each entry

  # Guards against two senders of orders, and against a booking lost to a pause.
  Scenario: the agent is paused longer than its lease while a booking runs
    When system has a booking under way
    And the system's agent of the booking is paused longer than its lease
    Then no other process takes the address of the system's agent
    When the system's agent of the booking goes on
    And system gets the booking again at each entry
    Then system gave the booking's answer each time
    And the system's engines ran it 1 time
    And the system's engines saw no unload of an adapter in use

  # Guards against a booking that is lost, or run again, when its entry dies.
  Scenario: the entry is killed while a booking runs
    When system has a booking under way
    And the system's entry-1 is killed
    And system gets the booking again at entry-2
    Then system gave the booking's answer each time
    And the system's engines ran it 1 time

  # Guards against two runs when a caller resends to another entry at once.
  Scenario: two entries race with one key
    When system gets a booking at both entries at once
    Then system gave the booking's answer each time
    And the system's engines ran it 1 time

  # Guards against an answer to another booking.
  Scenario: the same key with another body
    When system gets a booking
    And system gets another booking with its key
    Then system refused it with 422 at step "claim", not executed
    And the system's engines ran it 0 times

  # Guards against streams that a rolling restart cuts.
  Scenario: SIGTERM on an entry with a stream
    When system gets a long stream and its first events
    And the system's entry-1 is told to stop
    And system's caller reads the stream to its end
    Then system's stream was whole and without repetition

  # Guards against the same, and against queued work that ends with its agent.
  Scenario: SIGTERM on an agent with a stream and queued work
    When system gets a long stream and its first events
    And system gets 40 requests at once
    And the system's agent of the stream is told to stop
    And system's caller reads the stream to its end
    Then system's stream was whole and without repetition
    And system answered them all
    And the system's leaving target got no new work

  # Guards against a request that takes down every target.
  Scenario: a request that crashes engines is sent again and again
    When the system's engines crash on "poison"
    And system has 6 innocent requests under way
    And system gets a "poison" request 6 times over both entries
    Then the system's engines crashed at most 2 times
    And system refused the last as quarantined
    And system answered them all
