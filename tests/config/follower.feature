Feature: Following and publishing the configuration

  Scenario: Processes agree with a replay of the whole log
    Then processes agree after random changes, losses, outages, retention and restarts

  Scenario Outline: Publisher tells what became of a change whose answer was lost
    Given publisher whose appends end as <losses>
    When publisher publishes a change
    Then publisher reports <result> and the log has <copies> copies

    Examples:
      | losses          | result   | copies |
      | no              | Accepted | 1      |
      | written         | Accepted | 1      |
      | dropped,no      | Accepted | 1      |
      | dropped,written | Accepted | 1      |

  Scenario: Publisher says unknown, not refused, if the log goes down after a lost answer
    Given publisher whose log goes down after the answer to an append was lost
    When publisher publishes a change
    Then publisher reports Unknown
    When publisher publishes the same change again with the log back
    Then publisher reports Accepted and the log has 1 copies

  Scenario: Publisher refuses a change at once while the log is down
    Given publisher whose log is down
    When publisher publishes a change
    Then publisher reports Unavailable and the log has 0 copies

  Scenario: Follower starts from a peer while the log is down and keeps its offset
    Given follower with a peer at offset 3 and another at offset 2
    When follower steps while the log is down
    Then follower is log-down at offset 3
    When follower steps with the log back
    Then follower is current at offset 4

  Scenario: Follower keeps the last configuration if retention overtook it
    Given follower that read 2 of 6 records, of which 4 were removed
    When follower steps with the log back
    Then follower is cut-off at offset 2
    When follower finds a snapshot of offset 5
    Then follower is current at offset 6

  Scenario: Follower without any configuration does not claim to have one
    Given follower that read 0 of 6 records, of which 4 were removed
    When follower steps with the log back
    Then follower has no tree and is starting

  Scenario: Snapshot writers write after 500 changes and not at every look
    Given snapshot writer of a process that applied 1200 changes
    Then snapshot writer writes at its looks after 1, 2, 501 and 1100 changes yes, no, yes, yes

  Scenario: Snapshots that are cut off, interleaved or garbage are passed over
    Then snapshot reader finds the newest whole snapshot among damaged ones
