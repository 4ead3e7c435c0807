Feature: Streams of an engine are read as they arrive

  Scenario: Stream reader passes events on while the engine is still producing
    # A reader that waits for more data would hold an answer back to its end.
    Given stream reader follows an engine that falls silent after its first events
    Then stream reader has passed on events before the end
    And stream reader ends the stream with an error that may have run

  Scenario: Stream reader passes every event on once and in order
    Given stream reader follows 12 streams of 40 tokens at the same time
    Then stream reader has the events 1 to 42 of each stream in order
