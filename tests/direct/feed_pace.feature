Feature: How often the feeds of the store are read

  Scenario: Feed pace reads at once when the list seems stale
    # Guards against requests to targets that were removed, until the next regular read.
    Given feed pace of a list that is read every 60 s
    When feed pace gets a report that the list is stale
    Then feed pace reads the list a second time

  Scenario: Feed pace reads once for many reports in a row
    # Load pattern: several engines crash, and every request in flight reports it.
    # Guards against a read of the store for each of those requests.
    Given feed pace of a list that is read every 60 s
    When feed pace gets 100 reports within 0.1 s that the list is stale
    Then feed pace has read the list 2 times

  Scenario Outline: Feed pace reads when an engine reports a start that is not in the list
    # Guards against a restarted engine that stays unused until the next regular read.
    Given feed pace of an entry that knows an engine started at 5
    When feed pace gets the state of an engine started at <start>
    Then feed pace of the entry <asks> for the list

    Examples:
      | start | asks         |
      | 5     | does not ask |
      | 9     | asks         |

  Scenario Outline: Feed pace misses no record that is appended during a read of the newest ones
    # Guards against a configuration that stays unknown until the next one, because it was
    # written while an entry that had just started read the newest records.
    Given feed pace of a store whose page has "a" at offset 4 and the end <end>
    When feed pace reads the newest records and then continues
    Then feed pace continued from offset <from>

    Examples:
      | end | from |
      | 5   | 5    |
      | 6   | 5    |
      | 9   | 5    |
      | 4   | 4    |

  Scenario: Feed pace drops a record that is older than the newest of its key
    # Guards against a target that is in the list but counts as removed, because the record
    # of an earlier removal was read after its newest record.
    Given feed pace of a topic with "b" at offset 7 that continues from offset 5
    When feed pace continues and gets the removal of "b" at 5, "c" at 6 and "b" at 7
    Then feed pace passed on "b", then "c"

  Scenario: Feed pace continues after deleted records
    # Guards against an endless alternation between a read of the newest records and a read
    # at an offset that the store has deleted.
    Given feed pace of a topic that has deleted the records before offset 9
    When feed pace follows the topic for a while
    Then feed pace read from offset 5 once and then from offset 9

  Scenario Outline: Feed pace of the configuration leaves time for a lost answer
    # Guards against a configuration that is applied after its bound because the store's
    # answer was lost, and against more than two reads per bound while nothing changes.
    Given feed pace of a configuration that must be in force within <bound> s
    Then feed pace gets a record within the bound although one answer is lost
    And feed pace reads at most 2.0 times within the bound

    Examples:
      | bound |
      | 2.0   |
      | 3.0   |

  Scenario: Feed pace follows the configuration while the store is slow
    # Guards against reads that all time out before a slow store answers.
    Given feed pace of a store that needs 0.7 s for each answer
    When feed pace follows the configuration for 3 records
    Then feed pace passed on all 3 records
