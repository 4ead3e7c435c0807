Feature: The direct path from callers to targets

  Background:
    Given direct path with a store, a configuration and two plain targets

  Scenario: Direct path forwards path, query, headers and body unchanged
    # Guards against a request that runs with another path, query, header or body.
    When direct path gets a POST to "/safe/a%20b//c?x=1&x=2" with body "exact bytes"
    Then direct path answers 200 with the target's body and signature
    And direct path target got "/safe/a%20b//c?x=1&x=2" with body "exact bytes"
    And direct path target got no header that only the system may set

  Scenario: Direct path forwards a chunked body completely
    # Guards against a body that is cut or lost because its chunks were decoded wrongly.
    When direct path gets a chunked POST to "/safe/x" of "one" and "two"
    Then direct path target got "/safe/x" with body "onetwo"

  Scenario: Direct path sends targets the time left to the deadline
    # Guards against targets that work for callers that have timed out.
    When direct path gets a GET to "/safe/x" with a deadline of 900 ms
    Then direct path target got a deadline of at most 900 ms

  Scenario Outline: Direct path refuses requests that match no route
    When direct path gets a GET to "<path>"
    Then direct path answers <status> as not executed

    Examples:
      | path      | status |
      | /none/x   | 404    |
      | /saf      | 404    |
      | /safety/x | 404    |

  Scenario: Direct path retries on another target after a rejection
    # Guards against a refusal while another target has capacity. The retry is allowed for
    # non-idempotent requests too: the first target says that it has not run the request.
    Given direct path one target handles the next request as "full"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 200 with the target's body and signature
    And direct path request ran 1 time

  Scenario Outline: Direct path never retries a non-idempotent request that may have run
    # Guards against a request that runs twice, such as a double booking, because its first
    # answer was lost, late or invalid.
    Given direct path targets handle the next request as "<step>"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers <status> with execution unknown
    And direct path request ran 1 time

    Examples:
      | step     | status |
      | lost     | 502    |
      | unproved | 502    |
      | hang     | 504    |

  Scenario Outline: Direct path retries an idempotent request on another target
    Given direct path one target handles the next request as "<step>"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature

    Examples:
      | step           |
      | lost           |
      | unproved       |
      | error          |
      | unframed-reset |
      | hang           |

  Scenario: Direct path uses no more targets than the route allows
    # Guards against one request that takes the time of every target.
    Given direct path has a third plain target
    And direct path targets handle the next request as "lost"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 502 with execution unknown
    And direct path request ran 2 times

  Scenario Outline: Direct path gives a caller only the answer to its own request
    # Guards against mixed-up answers: a target sends a late answer to another request
    # first, or a second answer after the right one.
    Given direct path targets handle the next request as "<step>"
    When direct path sends the requests "r1" and "r2" one after the other
    Then direct path answered each with its own body

    Examples:
      | step  |
      | stray |
      | extra |

  Scenario: Direct path treats an answer without a length as complete after an orderly close
    Given direct path targets handle the next request as "unframed"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 200 with the target's body and signature

  Scenario: Direct path treats an answer without a length as broken after a reset
    # Guards against truncated answers that look complete.
    Given direct path targets handle the next request as "unframed-reset"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 502 with execution unknown

  Scenario: Direct path forwards the error answer of a target with its signature
    Given direct path targets handle the next request as "error"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 500 with the target's body and signature

  Scenario: Direct path does not use an address that another target took over
    # Guards against requests that reach a service to which their route does not lead.
    Given direct path target "p1" was replaced by another one at its address
    When direct path gets 6 GETs to "/safe/x"
    Then direct path answered all with 200
    And direct path target "p1" ran no request

  Scenario: Direct path refuses at once when every target is full
    # Guards against callers that wait although every target has rejected the request.
    Given direct path targets handle the next 4 requests as "full"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 503 as not executed
    And direct path answers with a Retry-After
