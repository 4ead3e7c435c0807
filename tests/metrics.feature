Feature: Metrics over statsd

  Scenario: Metrics gather counters and gauges into few packets
    # Guards against one system call for each request.
    Given metrics for process "entry-1" with a receiver
    When metrics count "requests" 500 times for "team-a"
    And metrics set gauge "config_offset" to 7
    And metrics are flushed
    Then metrics sent 1 packet
    And metrics sent "lt.entry.requests.team-a:500|c"
    And metrics sent "lt.entry.entry-1.config_offset:7|g"

  Scenario: Metrics sample timings beyond a number and say at which rate
    # Guards against metrics that use up the daemon's control traffic.
    Given metrics for process "entry-1" with a receiver
    When metrics time "queue_wait" 2000 times
    And metrics are flushed
    Then metrics sent between 1 and 200 timings
    And metrics sent the first timing without a rate and the last with one

  Scenario Outline: Metrics reject a use that is not declared
    # Guards against dashboards that wait for a name nobody sends.
    Given metrics for process "entry-1" without a receiver
    When metrics try <call>
    Then metrics report "<reason>"

    Examples:
      | call                         | reason                         |
      | count("reqests")             | is not in the table of metrics |
      | gauge("requests", 1)         | is a counter, not a gauge      |
      | count("retries", label="a")  | has no label                   |

  Scenario: Metrics bound the series that callers can open
    # Guards against a caller who invents team names to fill the receiver.
    Given metrics for process "entry-1" with a receiver
    When metrics count "requests" for 1000 invented teams
    And metrics are flushed
    Then metrics sent at most 257 series of "requests"
    And metrics sent "lt.entry.requests.other:744|c"

  Scenario: Metrics go on when the receiver can't be reached
    # Guards against requests that fail because monitoring does.
    Given metrics for process "entry-1" with a receiver that fails
    When metrics count "requests" 500 times for "team:a|b"
    And metrics are flushed
    And metrics are closed
    And metrics time "queue_wait" 2 times
    And metrics are flushed
    Then metrics raised nothing
