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
