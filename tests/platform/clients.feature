Feature: Clients of the platform

  Background:
    Given log client of a running log

  Scenario: Appended values are read back in order
    # Guards against values that change on their way through the log.
    When log client appends {"a": 1} and [2, null]
    Then log client got the offsets 0 to 2
    And log client reads from 1 the record 1 with [2, null]
    And log client sees the bounds 0 to 2, and nothing to read at 2

  Scenario: A waiting read returns when a record is appended
    # Guards against followers that see changes only after a whole poll.
    When log client waits for a record while another one appends {"b": 3}
    Then log client has read the record 0 with {"b": 3}

  Scenario: A lost answer is told apart from an append that was not made
    # Guards against doubled claims after a lost answer (G5).
    Given log client of a log that loses 1 answer
    When log client appends {"a": 1} and [2, null]
    Then log client reports LogAnswerLost
    And log client sees the bounds 0 to 2, and nothing to read at 2

  Scenario: A log that is down has written nothing
    # Guards against "unknown" where "not executed" is known (G4).
    Given log client after its log stopped
    When log client appends {"a": 1} and [2, null]
    Then log client reports LogUnavailable
    And log client's read reports LogUnavailable

  Scenario: A rate limit names the time to wait
    # Guards against appends that are repeated at once against the limit.
    Given log client of a log that takes 1 append
    When log client appends {"a": 1} and [2, null]
    And log client appends {"a": 1} and [2, null]
    Then log client names the time to wait in LogUnavailable
    And log client sees the bounds 0 to 2, and nothing to read at 2

  Scenario: A truncated offset names the first retained one
    # Guards against a follower that skips records without knowing it.
    Given log client of a log that retains 1 record
    When log client appends {"a": 1} and [2, null]
    Then log client's read from 0 reports LogTruncated with 1

  Scenario: The host list client returns all hosts
    # Guards against a list that loses the leaving hosts (G6).
    Given host list client of a list with a live host and a leaving host
    Then host list client fetches h1 live, h2 leaving

  Scenario: A host list that is down is an error and no empty list
    # Guards against taking an outage for a platform without hosts.
    Given host list client of a list that is stopped
    Then host list client reports HostListError
