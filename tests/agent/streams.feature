Feature: Events of streamed answers are passed on as they arrive

  Scenario: Stream reader passes on events while the engine still produces tokens
    # Guards against a reader that waits for more data or for the end of the body, and
    # so delays the first tokens.
    Given stream reader reads from an engine that sends nothing after its first events
    Then stream reader has passed on events before the end
    And stream reader reports an error after which the request may have run

  Scenario: Stream reader passes on events that arrive together with the head
    # Guards against first events that stay in a buffer until the next ones arrive, so
    # that a stream seems silent. The body has no length and ends with its connection.
    Given stream reader reads from an engine that sends head and events at once
    Then stream reader has passed on events before the end

  Scenario: Stream reader passes on every event once and in order
    # Guards against events that are lost, repeated or reordered. With this many streams
    # the reader pauses between reads and passes on several events together.
    Given stream reader reads 12 streams of 40 tokens at the same time
    Then stream reader passed on events 1 to 42 of each stream in order

  Scenario: Stream reader ends a stream that gets single bytes but no event
    # Guards against stalled streams that never end because a byte arrives now and then.
    Given stream reader reads a stream that gets a byte every 0.05 s
    Then stream reader reports an error after which the request may have run

  Scenario: Stream reader reads what has arrived before it calls a stream silent
    # Guards against a sound stream that counts as silent because the reader was held up
    # by the connection of another one.
    Given stream reader is held up by one stream while events of another arrive
    Then stream reader has passed on events before the end

  Scenario: Engine stream gives up on an event without end
    # Guards against memory that a faulty engine fills with one event.
    Given stream reader reads a stream of one event without end
    Then stream reader reports an error after which the request may have run

  # Guards against a reader that stands still for all streams, because one engine sends
  # more than it can read, or one event in very small pieces.
  Scenario Outline: Engine stream ends its turn while <what> arrive
    Given engine stream of an engine that sends <what>
    When engine stream is read for one turn
    Then engine stream has read 64 chunks and has more

    Examples:
      | what                       |
      | events without end         |
      | single bytes without end   |

  Scenario: Engine stream searches single bytes only once
    Given engine stream of an engine that sends single bytes without end
    When engine stream is read until it fails
    Then engine stream has searched at most 2 bytes for each byte

  Scenario: Stream reader passes on the events of a stream beside another without end
    Given stream reader reads a stream beside one that sends events without end
    Then stream reader has passed on events of both
