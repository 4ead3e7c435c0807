Feature: Admission, retries, hedges and slow targets

  Scenario Outline: Admission refuses by expected wait and criticality
    Then admission of <class> work with <wait> s expected of 10 s is <outcome>

    Examples:
      | class          | wait | outcome  |
      | non-idempotent | 8    | admitted |
      | non-idempotent | 9.5  | shed     |
      | interactive    | 5    | admitted |
      | interactive    | 8    | shed     |
      | deferrable     | 8    | shed     |

  Scenario: Admission lets a team borrow and takes back when others ask
    # Guards against a busy team that keeps the others out, and against idle reserves.
    Then admission gives a lone team everything and two teams about the same

  Scenario: Admission refuses a team at its limit until a request ends
    Then admission with a limit of 2 takes the third request after one has finished

  Scenario: Admission refuses cold starts when loads are slow, popular ones last
    # Guards against a queue of loads that none of its requests outlives.
    Then admission sheds a one-off adapter before an adapter with many requests

  Scenario Outline: Admission judges the rate of loads only once a load may have ended
    # Load pattern: many cold adapters asked for at once, by callers with 20 s each.
    # Guards against refusals while nothing is known of the loads but that they just began.
    Then admission of 24 cold starts within <within> s takes <taken>

    Examples:
      | within | taken      |
      | 0.02   | all        |
      | 0.2    | all        |
      | 0.28   | all        |
      | 6.0    | not all    |

  Scenario: Admission tells when to come back
    Then admission delays are within 0.5 and 30 s and grow with the backlog

  Scenario Outline: Retry budget allows only retries that can't do harm
    Then retry of <outcome> work that is <kind>, attempt <attempt>, is <verdict>

    Examples:
      | outcome | kind           | attempt | verdict |
      | not run | non-idempotent | 1       | made    |
      | unknown | idempotent     | 1       | made    |
      | unknown | non-idempotent | 1       | refused |
      | not run | idempotent     | 4       | refused |

  Scenario: Retry budget bounds the retries of a failing team
    # Guards against retries that multiply the load of an outage.
    Then retry budget lets 1000 failing requests retry at most 120 times

  Scenario: Hedge budget hedges late idempotent work and bounds the copies
    Then hedge budget waits for the p95, allows 2 in 100 and no non-idempotent work

  Scenario: Slow targets are found within a second and come back
    Then slow targets ejects a target at 5 times the median and takes it back

  Scenario: Slow targets keeps two thirds and a part of each domain
    # Guards against an ejection that takes a failure domain out of service.
    Then slow targets never ejects more than a third or a whole domain
