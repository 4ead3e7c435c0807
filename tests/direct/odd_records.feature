Feature: Odd records of another writer on the direct path

  # Guards against one odd record in the list of targets that ends every request of its
  # service, or the reading of the list. It names no target; all others stay in use.
  Scenario Outline: Direct path uses the other targets beside a record with <odd>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When direct path list of targets gets a record with <odd>
    And direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path logged the record once
    And direct path entry and agents still follow the list of targets

    Examples:
      | odd                       |
      | 400 digits of slots       |
      | a start before 1970       |
      | a start of 400 digits     |
      | a start in the year 30000 |
      | a sequence of 25 digits   |
      | an id with a line break   |
      | an id that is not ASCII   |
      | an octet of 80 digits     |
      | an octet that is no digit |
      | an octal address          |
      | port 0                    |
      | port 65536                |
      | port -1                   |
      | port 99999999999          |
      | port of 5000 digits       |
      | no port                   |
      | an IPv6 address           |
      | 100000 nested arrays      |
      | 100000 nested objects     |
      | slots NaN                 |
      | slots 1e400               |
      | slots -1                  |
      | slots 1.5                 |
      | invalid UTF-8             |
      | a lone surrogate          |
