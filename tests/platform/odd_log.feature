Feature: Odd records in the platform's log

  # Guards against a process that never gets past one record of another writer: it reads
  # the same page again and again, and everything after that record stays unknown.
  Scenario Outline: Stream follower gets past a record <odd>
    Given odd log with a record <odd> between 5 others
    When odd log is followed
    Then odd log follower has applied the 5 other records in order
    And odd log follower logged the record once

    Examples:
      | odd                      |
      | nested 100000 deep       |
      | nested 100000 deep twice |
      | of another type          |
      | with a number of 1e400   |
      | with a lone surrogate    |

  Scenario: Log client takes no other document for a page
    # Guards against records that are left out because a proxy answered.
    Given odd log with a record nested 100000 deep between 5 others
    When odd log is asked for its records and answers another document
    Then odd log client reports that the log is unavailable

  Scenario: Log client reports an answer that is nested too deeply
    Given odd log with a record nested 100000 deep between 5 others
    When odd log is asked for its bounds and answers nested values
    Then odd log client reports that the log is unavailable

  Scenario: Host list client reports an answer that is nested too deeply
    Given odd log with a record nested 100000 deep between 5 others
    When odd log is asked for its hosts and answers nested values
    Then odd log client reports that the host list can't be read
