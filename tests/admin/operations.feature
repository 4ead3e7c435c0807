Feature: Operators settle unknown bookings and lift quarantines

  # Guards against settling what may still run, and against changes without an audit line.
  Scenario Outline: Operations settle only a key whose outcome is unknown
    Given operations with a claim that is <state>
    When operations get "<executed>" for claim <claim> from <actor>
    Then operations answer <status> and the key is <after>

    Examples:
      | state    | executed | claim | actor   | status | after           |
      | unknown  | no       | c-1   | ann     | 200    | free            |
      | unknown  | yes      | c-1   | ann     | 200    | settledexecuted |
      | unknown  | maybe    | c-1   | ann     | 422    | unknown         |
      | unknown  | no       | c-2   | ann     | 409    | unknown         |
      | unknown  | no       | c-1   | bob     | 403    | unknown         |
      | unknown  | no       | c-1   | expired | 401    | unknown         |
      | open     | no       | c-1   | ann     | 409    | open            |
      | finished | no       | c-1   | ann     | 409    | finished        |

  Scenario: Operations lift a quarantine once
    Given operations with a quarantined request
    When operations lift it twice
    Then operations answer 200 and then 404, and nothing is quarantined
