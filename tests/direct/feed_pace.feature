Feature: How often the list of targets is read

  Scenario: Feed pace reads at once when what is known seems old
    # Guards against requests that go to targets that are gone until the next regular read.
    Given feed pace of a list that is read every 60 s
    When feed pace is told that the list seems old
    Then feed pace reads the list a second time

  Scenario: Feed pace reads once for many signs in a row
    # Load pattern: a crash of several engines, which every request in flight reports.
    # Guards against a read of the store for each of those requests.
    Given feed pace of a list that is read every 60 s
    When feed pace is told 100 times within 0.1 s that the list seems old
    Then feed pace has read the list 2 times

  Scenario Outline: Feed pace sees what engines tell of starts that the list does not name
    # Guards against a restarted engine that stays unused until the next regular read.
    Given feed pace of an entry that knows an engine started at 5
    When feed pace hears from the agent of an engine started at <start>
    Then feed pace of the entry <asks> for the list

    Examples:
      | start | asks         |
      | 5     | does not ask |
      | 9     | asks         |

  Scenario Outline: Feed pace misses no record that is appended while the newest are read
    # Guards against a configuration that stays unknown until the next one, because it was
    # written in the moment in which an entry that had just started read the newest.
    Given feed pace of a store whose page has "a" at offset 4 and the end <end>
    When feed pace reads the newest records and then on
    Then feed pace read on from offset <from>

    Examples:
      | end | from |
      | 5   | 5    |
      | 6   | 5    |
      | 9   | 5    |
      | 4   | 4    |

  Scenario: Feed pace passes on no record that is older than the newest of its key
    # Guards against a target that is taken for gone by a removal from before its return.
    Given feed pace of a topic with "b" at offset 7 that is read on from offset 5
    When feed pace reads on and gets the removal of "b" at 5, "c" at 6 and "b" at 7
    Then feed pace passed on "b", then "c"

  Scenario: Feed pace reads on behind what was deleted
    # Guards against an endless change between the newest records and a position that the
    # store has deleted.
    Given feed pace of a topic that has deleted what lies before offset 9
    When feed pace follows the topic for a while
    Then feed pace read from offset 5 once and then from offset 9

  Scenario Outline: Feed pace of the configuration leaves room for a lost answer
    # Guards against a configuration that comes after its bound because one answer of the
    # store was lost, and against more reads than two in that time while nothing changes.
    Given feed pace of a configuration that must be in force within <bound> s
    Then feed pace knows a record within the bound although one answer is lost
    And feed pace reads at most 2.0 times within the bound

    Examples:
      | bound |
      | 2.0   |
      | 3.0   |

  Scenario: Feed pace follows the configuration while the store is slow
    # Guards against reads that all end before a slow store answers.
    Given feed pace of a store that needs 0.7 s for each answer
    When feed pace follows the configuration for 3 records
    Then feed pace passed on all 3 records
