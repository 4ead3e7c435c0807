Feature: System: whole answers while engines fail
  Each answer is compared with what its own adapter says, and each run with the engines'
  journals.

  Background:
    Given system of 2 entries runs

  # Guards against answers that ordinary clients can't read, or of another adapter.
  Scenario Outline: an ordinary client, <kind>
    When system gets a <kind> request
    Then system answered with the whole text and its headers
    And the system's engines ran it 1 time

    Examples:
      | kind            |
      | one-shot        |
      | streamed        |
      | chat            |
      | streamed chat   |

  # Guards against an answer that is collected before it is passed on.
  Scenario: the first events arrive while the engine produces
    When system gets a long stream and its first events
    Then the system's engines still run it
    When system's caller reads the stream to its end
    Then system's stream was whole and without repetition

  # Guards against streams that are cut, doubled or stuck when connections go silent.
  Scenario: connections to the engines go silent during a stream
    When system gets a long stream and its first events
    And the system's engines have silent connections
    And system's caller reads the stream to its end
    Then system's stream was whole and without repetition
    And the system's engines ran it 1 time

  # Guards against giving up work that may be repeated.
  Scenario: the answer of repeatable work is lost after the effect
    When system gets requests until engine-1 has lost an answer
    Then system answered them all

  # Guards against a booking that runs twice because its answer was lost.
  Scenario: the answer of a booking is lost after the effect
    When the system's engines lose 1 answer
    And system gets a booking
    Then system refused the booking as unknown
    When system gets the booking again at each entry
    Then system refused the booking as unknown
    And the system's engines ran it 1 time

  # Guards against the same for a call of a plain service.
  Scenario: the answer of a hold at a plain service is lost after the effect
    When the system's service loses 1 answer
    And system gets a hold
    Then system refused the booking as unknown
    When system gets the hold again
    Then system refused the booking as unknown
    And the system's service ran the hold 1 time

  # Guards against adapters that the agent believes loaded after a restart.
  Scenario: the engines restart empty before work arrives
    When system gets a one-shot request
    And the system's engines restart empty
    And system gets 8 requests at once
    Then system answered them all

  # Guards against work that is lost with the engine's memory.
  Scenario: the engines restart empty while work runs
    When system has a long one-shot request under way
    And the system's engines restart empty
    Then system answers it whole

  # Guards against a booking that is repeated after its engine was cut.
  Scenario: an engine restarts empty while a booking runs
    When system has a booking under way
    And the system's engines restart empty
    Then system answers it as unknown
    When system gets the booking again at each entry
    Then system refused the booking as unknown
    And the system's engines ran it 1 time

  # Guards against answers of the base model, which engines give without a word.
  Scenario: engines that fall back to the base model restart empty
    When system gets a one-shot request
    And the system's engines fall back to the base model
    And the system's engines restart empty
    And system gets 16 requests at once
    Then system answered them all

  # Guards against the same in the middle of streams.
  Scenario: engines that fall back to the base model restart during a stream
    When system gets a long stream and its first events
    And the system's engines fall back to the base model
    And the system's engines restart empty
    And system's caller reads the stream to its end
    Then system's stream has only text of its adapter

  # Guards against requests that wait for ever, or run without their adapter.
  Scenario Outline: <case>
    When the system's engines <fault>
    And system gets 4 requests for a new adapter at once
    Then system answered them all

    Examples:
      | case                      | fault                                       |
      | an adapter load fails     | fail 1 load                                 |
      | a load's answer is lost   | lose 1 answer below /v1/load_lora_adapter   |

  # Guards against unloading an adapter in use, and against slots that are lost.
  @known-red
  Scenario: the answer of an unload is lost
    When the system's engines lose 1 answer below /v1/unload_lora_adapter
    And system gets 24 requests for as many adapters at once
    Then system answered them all
    And the system's engines saw no unload of an adapter in use
