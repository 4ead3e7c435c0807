Feature: Following and publishing the configuration

  Scenario: Processes agree with a replay of the whole log
    # Guards against processes that end with different configurations. Random
    # schedules mix changes with duplicates, lost answers, outages, truncation,
    # snapshots and restarts.
    Then processes agree after random changes, lost answers, outages, truncation and restarts

  Scenario Outline: Publisher reports the decision on a change whose answer was lost
    # Guards against a change that is reported as failed though it took effect, or
    # appended again though it was written. "written" and "dropped" tell what the log
    # did with an append whose answer was lost.
    Given publisher whose appends have the faults <faults>
    When publisher publishes a change
    Then publisher reports <result> and the log has <count> records

    Examples:
      | faults          | result   | count |
      | no              | Accepted | 1     |
      | written         | Accepted | 1     |
      | dropped,no      | Accepted | 1     |
      | dropped,written | Accepted | 1     |

  Scenario: Publisher reports Unknown if the log goes down after a lost answer
    # Guards against a change that is reported as not made and takes effect: the append
    # was written, its answer was lost, and the retry finds the log down.
    Given publisher whose log goes down after the answer to an append was lost
    When publisher publishes a change
    Then publisher reports Unknown
    When publisher publishes the same change again with the log available
    Then publisher reports Accepted and the log has 1 records

  Scenario: Publisher reports Unavailable at once while the log is down
    # Guards against "unknown" for a change that was certainly not written.
    Given publisher whose log is down
    When publisher publishes a change
    Then publisher reports Unavailable and the log has 0 records

  Scenario: Follower starts from the newest snapshot of its peers while the log is down
    # Guards against a process that can't start during an outage of the log, and against
    # an older or malformed snapshot that replaces a newer tree.
    Given follower with a peer at offset 3 and another at offset 2
    When follower steps while the log is down
    Then follower is log-down at offset 3
    When follower steps with the log available
    Then follower is current at offset 4

  Scenario: Follower keeps its configuration if retention removed unread records
    # Guards against a process that skips the removed records, or drops its
    # configuration, until there is a snapshot to continue from.
    Given follower that read 2 of 6 records, of which 4 were removed
    When follower steps with the log available
    Then follower is cut-off at offset 2
    When follower finds a snapshot of offset 5
    Then follower is current at offset 6

  Scenario: Follower without a snapshot of removed records has no configuration
    # Guards against a process that starts with an empty configuration although records
    # at the start of the stream were removed.
    Given follower that read 0 of 6 records, of which 4 were removed
    When follower steps with the log available
    Then follower has no tree and is starting

  Scenario: Snapshot writer writes after 500 changes and not at every check
    # Guards against a log filled with snapshots, and against a log without a recent one.
    Given snapshot writer with an empty log
    Then snapshot writer checks after 1, 2, 501 and 1100 changes and writes yes, no, yes, yes

  Scenario: Snapshot reader skips incomplete and undecodable snapshots
    # Guards against a process that can't start because a writer stopped halfway. Pieces
    # of other snapshots are interleaved with those of the complete one.
    Then snapshot reader finds the newest complete snapshot among damaged ones
