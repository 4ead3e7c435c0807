Feature: System: outages of the platform
  What needs nothing of the part that is away goes on; the rest is refused, truly and at once.

  Background:
    Given system of 2 entries runs

  # Guards against an outage of the log that stops work which needs no claim, and against
  # a booking that runs without one.
  Scenario: the log is down
    When system gets a whole request
    And the system's log goes down
    Then system answers 8 requests at each entry
    When system gets a booking
    Then system refused the booking as not executed
    And the system's engines ran it 0 times
    When the system's log is back
    Then system answers the booking in the end
    And the system's engines ran it 1 time

  # Guards against an outage of the weight store that stops adapters which are loaded.
  Scenario: the weight store is down
    When system gets a whole request
    And the system's weight store goes down
    Then system answers 8 requests at each entry
    When system gets a request for adapter "extra-20"
    Then system refused it as not executed
    When the system's weight store is back
    Then system answers a request for adapter "extra-20" in the end

  # Guards against a stream that is cut because its version may serve no new requests.
  Scenario: a version is removed during a stream
    When system gets a long stream of adapter "extra-21" and its first events
    And the operators remove version 1 of adapter "extra-21"
    Then system refuses new requests for version 1 of adapter "extra-21" in the end
    And system's caller gets the stream of adapter "extra-21" whole

  # Guards against new work at a host that the platform is about to take away.
  Scenario: a host leaves by the host list
    When the system's host list says that agent-1 is "leaving"
    Then no entry of the system gives engine-1 work
    And system answers 8 requests at each entry
    And the system's engine-1 ran none of them
    When the system's host list says that agent-1 is "live"
    Then each entry of the system gives every target work
