Feature: Admission, retries, hedging and slow targets

  Scenario Outline: Admission sheds by expected wait and criticality
    Then admission of <class> work with a wait of <wait> s in a budget of 10 s is <outcome>

    Examples:
      | class          | wait | outcome  |
      | non-idempotent | 8    | admitted |
      | non-idempotent | 9.5  | shed     |
      | interactive    | 5    | admitted |
      | interactive    | 8    | shed     |
      | deferrable     | 8    | shed     |

  Scenario: Admission lends idle shares to a team until other teams need them
    # Guards against a busy team that keeps the others from being admitted, and against
    # capacity that is reserved for idle teams.
    Then admission gives a single team all capacity and two teams about the same

  Scenario: Admission sheds requests of a team at its limit until one has finished
    Then admission with a limit of 2 admits the third request after one has finished

  Scenario: Admission sheds cold starts when loads are slow, popular adapters last
    # Guards against a queue of loads so long that all its requests miss their deadlines.
    Then admission sheds a rarely used adapter before an adapter with many requests

  Scenario Outline: Admission uses the rate of loads only once a load may have ended
    # Load pattern: many cold adapters are requested at once, with time budgets of 20 s.
    # Guards against shedding while no load has had the time to finish, so that the rate is
    # not known yet.
    Then admission of 24 cold starts within <within> s admits <admitted>

    Examples:
      | within | admitted |
      | 0.02   | all      |
      | 0.2    | all      |
      | 0.28   | all      |
      | 6.0    | not all  |

  Scenario: Admission tells callers when to retry
    Then admission delays are within 0.5 and 30 s and grow with the backlog

  # Guards against work that is executed twice because it was retried after it may have run.
  Scenario Outline: Retry budget allows only safe retries, up to the maximum of attempts
    Then retry of <outcome> work that is <kind>, attempt <attempt>, is <verdict>

    Examples:
      | outcome | kind           | attempt | verdict |
      | not run | non-idempotent | 1       | made    |
      | unknown | idempotent     | 1       | made    |
      | unknown | non-idempotent | 1       | refused |
      | not run | idempotent     | 4       | refused |

  Scenario: Retry budget limits the retries of a team whose requests fail
    # Guards against retries that multiply the load during an outage.
    Then retry budget lets 1000 failing requests retry at most 120 times

  Scenario: Hedge budget hedges slow idempotent work and limits the hedges
    Then hedge budget waits for the p95, allows 2 in 100 and no non-idempotent work

  Scenario: Slow targets are ejected within a second and readmitted
    Then slow targets ejects a target at 5 times the median and readmits it

  Scenario: Slow targets keeps two thirds of the targets and some of each domain
    # Guards against ejecting all targets of a failure domain.
    Then slow targets never ejects more than a third or a whole domain
