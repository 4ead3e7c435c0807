Feature: The direct path from callers to targets

  Background:
    Given direct path with a store, a configuration and two plain targets

  Scenario: Direct path passes path, query, headers and body on unchanged
    # Guards against a request that runs with another path, query, header or body.
    When direct path gets a POST to "/safe/a%20b//c?x=1&x=2" with body "exact bytes"
    Then direct path answers 200 with the target's body and proof
    And direct path target got "/safe/a%20b//c?x=1&x=2" with body "exact bytes"
    And direct path target got no header that only the system may set

  Scenario: Direct path passes a chunked body on whole
    # Guards against bodies that lose their framing on the way.
    When direct path gets a chunked POST to "/safe/x" of "one" and "two"
    Then direct path target got "/safe/x" with body "onetwo"

  Scenario: Direct path tells targets how much of the deadline is left
    # Guards against targets that work for callers who have stopped waiting.
    When direct path gets a GET to "/safe/x" with a deadline of 900 ms
    Then direct path target got a deadline of at most 900 ms

  Scenario Outline: Direct path refuses what no route allows
    When direct path gets a GET to "<path>"
    Then direct path answers <status> as not executed

    Examples:
      | path      | status |
      | /none/x   | 404    |
      | /saf      | 404    |
      | /safety/x | 404    |

  Scenario: Direct path uses another target when one has not run the request
    # Guards against refusals while another target is free, also for work that must
    # not be repeated: the first target says that it has not run it.
    Given direct path targets do "full" next at one of them
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 200 with the target's body and proof
    And direct path request ran 1 time

  Scenario Outline: Direct path never repeats work that must run at most once
    # Guards against doubled bookings when an answer is lost, late or unreadable.
    Given direct path targets do "<step>" next
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers <status> as of unknown execution
    And direct path request ran 1 time

    Examples:
      | step     | status |
      | lost     | 502    |
      | unproved | 502    |
      | hang     | 504    |

  Scenario Outline: Direct path repeats idempotent work at another target
    Given direct path targets do "<step>" next at one of them
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and proof

    Examples:
      | step           |
      | lost           |
      | unproved       |
      | error          |
      | unframed-reset |
      | hang           |

  Scenario: Direct path uses no more targets than the route allows
    # Guards against one request that takes every target's time.
    Given direct path has a third plain target
    And direct path targets do "lost" next
    When direct path gets a GET to "/safe/x"
    Then direct path answers 502 as of unknown execution
    And direct path request ran 2 times

  Scenario Outline: Direct path gives a caller only the answer to its own request
    # Guards against answers that cross: a late one comes first, or a second follows.
    Given direct path targets do "<step>" next
    When direct path sends the requests "r1" and "r2" one after the other
    Then direct path answered each with its own body

    Examples:
      | step  |
      | stray |
      | extra |

  Scenario: Direct path takes an answer without a length as whole when it ends properly
    Given direct path targets do "unframed" next
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 200 with the target's body and proof

  Scenario: Direct path takes an answer without a length as broken after a reset
    # Guards against cut answers that look complete.
    Given direct path targets do "unframed-reset" next
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 502 as of unknown execution

  Scenario: Direct path passes a target's failure on with its proof
    Given direct path targets do "error" next
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 500 with the target's body and proof

  Scenario: Direct path does not use an address that another target took over
    # Guards against requests at a service to which no route leads.
    Given direct path target "p1" was replaced by another one at its address
    When direct path gets 6 GETs to "/safe/x"
    Then direct path answered all with 200
    And direct path target "p1" ran nothing

  Scenario: Direct path refuses at once when every target is full
    # Guards against callers who wait for an answer that is known to be no.
    Given direct path targets do "full" next, 4 times
    When direct path gets a GET to "/safe/x"
    Then direct path answers 503 as not executed
    And direct path says when to come back
