Feature: Metrics over statsd

  Scenario: Metrics send counters and gauges in few packets
    # Guards against one system call per request, because each count is sent at once.
    Given metrics with a receiver that works
    When metrics count "requests" 500 times for "team-a"
    And metrics set gauge "config_offset" to 7
    And metrics method flush is called
    Then metrics sent 1 to 1 packets
    And metrics sent "lt.entry.requests.team-a:500|c"
    And metrics sent "lt.entry.entry-1.config_offset:7|g"

  Scenario: Metrics sample timings at high rates and send the sampling rate
    # Guards against timings of many requests that use up the control traffic of a daemon.
    Given metrics with a receiver that works
    When metrics time "queue_wait" 2000 times
    And metrics method flush is called
    Then metrics sent 1 to 200 lines
    And metrics sent the first timing without a rate and the last with one

  Scenario: Metrics refuse a use that is not declared
    # Guards against a misspelt name in the code, which a dashboard would show as no data.
    Given metrics with a receiver that works
    Then metrics refuse count("reqests") because "is not in the table of metrics"
    And metrics refuse gauge("requests", 1) because "is a counter, not a gauge"
    And metrics refuse count("retries", label="a") because "has no label"

  Scenario: Metrics bound the number of time series
    # Guards against a caller who makes the receiver create a time series for each of many
    # made-up team names.
    Given metrics with a receiver that works
    When metrics count "requests" 1000 times for "team-{number}"
    And metrics method flush is called
    Then metrics sent 1 to 257 lines
    And metrics sent "lt.entry.requests.other:744|c"

  Scenario: Metrics raise nothing when the receiver can't be reached
    # Guards against requests that fail because their metrics can't be sent.
    Given metrics with a receiver that fails
    When metrics count "requests" 500 times for "team:a|b"
    And metrics method flush is called
    And metrics method close is called
    And metrics time "queue_wait" 2 times
    And metrics method flush is called
    Then metrics sent 0 to 0 packets
