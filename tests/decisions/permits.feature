Feature: Permits for targets that name a limit

  # Load pattern: all entries want to send to a target that takes two requests a second.
  Scenario: Permit buckets give the named rate and a short burst
    # Guards against a sum over all entries that exceeds the limit, and against requests that
    # are spread although nothing was sent before.
    Then permit bucket of 2.0 a second grants 10 of 100 requests in 5 s
    And permit bucket of 2.0 a second that was idle for 60 s grants 11 of 100 requests in 5 s
    And permit bucket of 0.0 a second grants 0 of 100 requests in 5 s
    And permit bucket of 0.5 a second grants 2 of 100 requests in 5 s

  Scenario: Permit buckets give permits of the future to those that can wait
    # Guards against refused requests although a permit is due soon.
    Then permit bucket of 2.0 a second grants waits of 0.5, 1.0 and 1.5 s, and none up to 1.5 s after

  Scenario: Target limits give a repeated request no second permit
    # Guards against permits that are lost with the answers that grant them.
    Then target limits answer a request for up to 1.0 s, again 0.3 s later, with waits of 0.5 and 0.2 s
    And target limits grant the next request 0.5 s after that

  Scenario: Target limits have the same owners at all entries
    # Guards against two agents that each give the whole limit.
    Then target limits of 30 targets have 3 owners each of 9 agents, the same in any order

  # Load pattern: an engine that names a limit gets more requests than that.
  Scenario Outline: Engine slots decide at once which requests the limit leaves no time for
    # Guards against requests that wait although no permit will be due in time, and against
    # a queue in which all answers become late.
    Given engine slots of an engine with a limit of 2.0 a second
    When engine slots get 5 requests that wait up to <wait> s with an objective of <objective> s
    Then engine slots decline <declined> of them at once, with the reason "rate limit"
    And engine slots grant <granted> of them within 3 s

    Examples:
      | wait | objective | declined | granted |
      | 1.6  | 9.0       | 2        | 3       |
      | 9.0  | 1.1       | 3        | 2       |
      | 0.4  | 9.0       | 5        | 0       |
      | 9.0  | 9.0       | 0        | 5       |

  Scenario: Engine slots say that an engine is lost also while it names a limit
    # Guards against entries that keep asking a lost engine, because its limit is the reason.
    Given engine slots of an engine with a limit of 2.0 a second
    When engine slots lose their engine and get a request with an objective of 0.1 s
    Then engine slots decline it because the engine is lost
