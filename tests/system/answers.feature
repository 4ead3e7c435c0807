Feature: System: complete answers while engines fail
  Each answer is compared with the text that its own adapter generates, and the number of
  executions with the engines' journals. A booking is a non-idempotent request to an engine, a
  hold a non-idempotent call of a plain service.

  Background:
    Given system of 2 entries runs

  # Guards against answers that ordinary clients can't parse, or from another adapter.
  Scenario Outline: an ordinary client, <kind>
    When system receives a <kind> request
    Then system answered with the complete text and its headers
    And the system's engines executed it 1 time

    Examples:
      | kind            |
      | one-shot        |
      | streamed        |
      | chat            |
      | streamed chat   |

  # Guards against buffering a whole stream before its first event is passed on.
  Scenario: the first events arrive while the engine generates the rest
    When system receives a long stream and its first events
    Then the system's engines still execute it
    When system's caller reads the stream to its end
    Then system's stream was complete and without repetition

  # Guards against streams that end early, repeat events or hang when a connection to an
  # engine stays open but delivers nothing more.
  Scenario: connections to the engines become silent during a stream
    When system receives a long stream and its first events
    And the system's engines make their connections silent
    And system's caller reads the stream to its end
    Then system's stream was complete and without repetition
    And the system's engines executed it 1 time

  # Guards against failing an idempotent request that could be retried.
  Scenario: the answer to an idempotent request is lost after its execution
    When system receives requests until engine-1 has lost an answer
    Then system answered them all

  # Guards against a booking that is executed twice because its answer was lost.
  Scenario: the answer to a booking is lost after its execution
    When the system's engines lose 1 answer
    And system receives a booking
    Then system refused the booking with an unknown outcome
    When system receives the booking again at each entry
    Then system refused the booking with an unknown outcome
    And the system's engines executed it 1 time

  # Guards against a non-idempotent call of a plain service that is executed twice because
  # its answer was lost.
  Scenario: the answer to a hold at a plain service is lost after its execution
    When the system's service loses 1 answer
    And system receives a hold
    Then system refused the booking with an unknown outcome
    When system receives the hold again
    Then system refused the booking with an unknown outcome
    And the system's service executed the hold 1 time

  # Guards against an agent that still counts adapters as loaded after its engine lost them
  # in a restart.
  Scenario: the engines restart empty before requests arrive
    When system receives a one-shot request
    And the system's engines restart empty
    And system receives 8 requests at once
    Then system answered them all

  # Guards against an idempotent request that fails because its engine restarted.
  Scenario: the engines restart empty while a request runs
    When system has a long one-shot request in progress
    And the system's engines restart empty
    Then system answers it completely

  # Guards against a booking that is executed again after its engine restarted.
  Scenario: an engine restarts empty while a booking runs
    When system has a booking in progress
    And the system's engines restart empty
    Then system answers it with an unknown outcome
    When system receives the booking again at each entry
    Then system refused the booking with an unknown outcome
    And the system's engines executed it 1 time

  # Guards against answers of the base model: some engines use it without an error when an
  # adapter is not loaded.
  Scenario: engines that fall back to the base model restart empty
    When system receives a one-shot request
    And the system's engines fall back to the base model
    And the system's engines restart empty
    And system receives 16 requests at once
    Then system answered them all

  # Guards against a stream that goes on with text of the base model after a restart.
  Scenario: engines that fall back to the base model restart during a stream
    When system receives a long stream and its first events
    And the system's engines fall back to the base model
    And the system's engines restart empty
    And system's caller reads the stream to its end
    Then system's stream contains only text of its adapter

  # Guards against requests that wait forever, or run without their adapter.
  Scenario Outline: <case>
    When the system's engines <fault>
    And system receives 4 requests for a new adapter at once
    Then system answered them all

    Examples:
      | case                      | fault                                       |
      | an adapter load fails     | fail 1 load                                 |
      | a load's answer is lost   | lose 1 answer below /v1/load_lora_adapter   |

  # Guards against unloading an adapter in use, and against adapter slots that stay reserved
  # because the outcome of an unload is unknown.
  @known-red
  Scenario: the answer of an unload is lost
    When the system's engines lose 1 answer below /v1/unload_lora_adapter
    And system receives 24 requests for as many adapters at once
    Then system answered them all
    And the system's engines saw no unload of an adapter in use
