Feature: Clients of the platform

  Background:
    Given log client of a running log

  Scenario: Log client reads appended values back in order
    # Guards against values that the client or the log changes or reorders.
    When log client appends {"a": 1} and [2, null]
    Then log client's append returns the first offset 0 and the next offset 2
    And log client reads from offset 1 the record 1 with [2, null]
    And log client sees the bounds 0 to 2 and no record at offset 2

  Scenario: Log client's long poll returns when a record is appended
    # Guards against followers that see a record only when the long poll times out.
    When log client waits for a record while another client appends {"b": 3}
    Then log client received the record 0 with {"b": 3}

  Scenario: Log client distinguishes a lost answer from a failed append
    # Guards against duplicate claims: after a lost answer the append may have taken
    # effect, so it must not be repeated as if it had failed (G5).
    Given log client of a log that loses 1 answer
    When log client appends {"a": 1} and [2, null]
    Then log client reports LogAnswerLost
    And log client sees the bounds 0 to 2 and no record at offset 2

  Scenario: Log client reports that an unreachable log has written nothing
    # Guards against the outcome "unknown" where "not executed" is certain (G4).
    Given log client whose log has stopped
    When log client appends {"a": 1} and [2, null]
    Then log client reports LogUnavailable
    And log client's read reports LogUnavailable

  Scenario: Log client passes on the retry delay of a rate limit
    # Guards against appends that are retried immediately although the limit rejects them.
    Given log client of a log whose rate limit allows 1 append
    When log client appends {"a": 1} and [2, null]
    And log client appends {"a": 1} and [2, null]
    Then log client's LogUnavailable error has a retry delay
    And log client sees the bounds 0 to 2 and no record at offset 2

  Scenario: Log client reports the first retained offset after a truncation
    # Guards against a follower that skips truncated records without noticing.
    Given log client of a log that retains 1 record
    When log client appends {"a": 1} and [2, null]
    Then log client's read from offset 0 reports LogTruncated with 1

  Scenario: Host list client returns all hosts
    # Guards against draining hosts that are left out of the list (G6).
    Given host list client of a list with a live host and a draining host
    Then host list client fetches h1 live, h2 leaving

  Scenario: Host list client reports an unreachable list as an error, not as empty
    # Guards against an outage of the list that is taken for a platform without hosts.
    Given host list client whose list has stopped
    Then host list client reports HostListError
