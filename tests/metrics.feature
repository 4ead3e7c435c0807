Feature: Metrics over statsd

  Scenario: Metrics gather counters and gauges into few packets
    # Guards against one system call for each request.
    Given metrics with a receiver that works
    When metrics count "requests" 500 times for "team-a"
    And metrics set gauge "config_offset" to 7
    And metrics are told to flush
    Then metrics sent 1 to 1 packets
    And metrics sent "lt.entry.requests.team-a:500|c"
    And metrics sent "lt.entry.entry-1.config_offset:7|g"

  Scenario: Metrics sample timings beyond a number and say at which rate
    # Guards against metrics that use up the daemon's control traffic.
    Given metrics with a receiver that works
    When metrics time "queue_wait" 2000 times
    And metrics are told to flush
    Then metrics sent 1 to 200 lines
    And metrics sent the first timing without a rate and the last with one

  Scenario: Metrics reject a use that is not declared
    # Guards against dashboards that wait for a name nobody sends.
    Given metrics with a receiver that works
    Then metrics refuse count("reqests") because "is not in the table of metrics"
    And metrics refuse gauge("requests", 1) because "is a counter, not a gauge"
    And metrics refuse count("retries", label="a") because "has no label"

  Scenario: Metrics bound the series that callers can open
    # Guards against a caller who invents team names to fill the receiver.
    Given metrics with a receiver that works
    When metrics count "requests" 1000 times for "team-{number}"
    And metrics are told to flush
    Then metrics sent 1 to 257 lines
    And metrics sent "lt.entry.requests.other:744|c"

  Scenario: Metrics raise nothing when the receiver can't be reached
    # Guards against requests that fail because monitoring does.
    Given metrics with a receiver that fails
    When metrics count "requests" 500 times for "team:a|b"
    And metrics are told to flush
    And metrics are told to close
    And metrics time "queue_wait" 2 times
    And metrics are told to flush
    Then metrics sent 0 to 0 packets
