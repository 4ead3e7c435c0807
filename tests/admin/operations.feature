Feature: Operators settle claims with unknown outcome and lift quarantines

  # Guards against a claim that is settled while its work may still run, or by a token
  # without the scope, and against changes without an audit record.
  Scenario Outline: Operations settle only a key whose outcome is unknown
    Given operations with a claim that is <state>
    When operations receive finding "<executed>" on claim <claim> from <actor>
    Then operations answer <status> and the claim state is <after>

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

  # Guards against a lifted quarantine that stays in force, and against a second lift that
  # is reported as done although nothing is quarantined.
  Scenario: Operations lift a quarantine once
    Given operations with a quarantined request
    When operations lift the quarantine twice
    Then operations answer 200 and then 404, and nothing is quarantined
