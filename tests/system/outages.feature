Feature: System: outages of the platform
  Requests that don't need the part of the platform that is down are served. The others are
  refused at once, and their refusals state correctly that they were not executed.

  Background:
    Given system of 2 entries runs

  # Guards against an outage of the log that stops requests which need no claim, and against
  # a booking that is executed without one.
  Scenario: the log is down
    When system receives a one-shot request
    And the system's log goes down
    Then system answers 8 requests at each entry
    When system receives a booking
    Then system refused the booking as not executed
    And the system's engines executed it 0 times
    When the system's log is up again
    Then system answers the booking eventually
    And the system's engines executed it 1 time

  # Guards against an outage of the weight store that stops requests for loaded adapters.
  Scenario: the weight store is down
    When system receives a one-shot request
    And the system's weight store goes down
    Then system answers 8 requests at each entry
    When system receives a request for adapter "extra-20"
    Then system refused it as not executed
    When the system's weight store is up again
    Then system answers a request for adapter "extra-20" eventually

  # Guards against a stream that ends early because its adapter version was removed and
  # accepts no new requests.
  Scenario: a version is removed during a stream
    When system receives a long stream of adapter "extra-21" and its first events
    And the operators remove version 1 of adapter "extra-21"
    Then system refuses new requests for version 1 of adapter "extra-21" eventually
    And system's caller receives the complete stream of adapter "extra-21"

  # Guards against new requests at a host that the platform is about to remove.
  Scenario: the host list marks a host as leaving
    When the system's host list says that agent-1 is "leaving"
    Then no entry of the system sends requests to engine-1
    And system answers 8 requests at each entry
    And the system's engine-1 executed none of them
    When the system's host list says that agent-1 is "live"
    Then each entry of the system sends requests to every target
