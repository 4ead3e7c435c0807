Feature: Operator commands

  Background:
    Given operator commands with an administration API and token ann

  # Guards against commands whose output does not match the configuration in force.
  Scenario: Operator sets a value, reads it and sees its history
    When operator runs config set /teams/a/limits --file - --yes with input share = 2.0
    Then operator gets exit code 0 and output containing is at revision 1
    When operator runs config set /teams/a/limits --file - --yes with input share = 3.0
    And operator runs config get /teams/a/limits with input none
    Then operator gets exit code 0 and output containing share = 3.0
    When operator runs config history /teams/a/limits with input none
    Then operator gets exit code 0 and output containing +share = 3.0
    When operator runs audit --path /teams/a --json with input none
    Then operator gets exit code 0 and output containing "revision": 2

  # Guards against scripts that take a failed command for a successful one, or one failure
  # for another.
  Scenario Outline: Operator gets the documented exit code
    When operator runs <command> with input <input>
    Then operator gets exit code <code> and output containing <output>

    Examples:
      | command                                      | input       | code | output                |
      | status                                       | none        | 0    | offset: 7             |
      | status --json                                | none        | 0    | {"offset": 7}         |
      | config get /teams/a/limits                   | none        | 5    | does not exist        |
      | config set /teams/a/limits --file - --yes    | share = -1  | 2    | > 0                   |
      | config set /teams/a/limits --file - --yes    | share = x   | 2    | not valid TOML        |
      | config set /teams/a/limits --file -          | share = 2   | 2    | give --yes            |
      | config set /teams/a/limits --file /no/file   | none        | 2    | can't read            |
      | config get                                   | none        | 2    |                       |
      | audit --since yesterday                      | none        | 2    | since must be a time  |
      | status --admin http://127.0.0.1:1            | none        | 1    | no connection         |

  # Guards against a wrong token that is reported like an outage of the API.
  Scenario: Operator with a wrong token is not authorised
    Given operator has a wrong token
    When operator runs status with input none
    Then operator gets exit code 4 and output containing bearer token

  # Guards against a change that replaces another operator's, which was made after the
  # command read the value.
  Scenario: Operator gets a conflict if the value changed after it was read
    Given operator write is preceded by a write of another operator
    When operator runs config set /teams/a/limits --file - --yes with input share = 2.0
    Then operator gets exit code 3 and output containing changed since

  # Guards against a command that reports a change as failed or applied although the answer
  # of the log was lost, and against a retry that can't succeed afterwards.
  Scenario: Operator learns that the outcome is unknown
    Given operator log loses 100 answers
    When operator runs config set /teams/a/limits --file - --yes with input share = 2.0
    Then operator gets exit code 6 and output containing not known
    Given operator log loses 0 answers
    When operator runs config set /teams/a/limits --file - --yes with input share = 2.0
    Then operator gets exit code 0 and output containing is at revision 1

  # Guards against an editor that starts with an empty file instead of the current value.
  Scenario: Operator edits the value that was read
    Given operator editor replaces 2.0 by 4.0
    When operator runs config set /teams/a/limits --file - --yes with input share = 2.0
    And operator runs config set /teams/a/limits --yes on a terminal
    Then operator gets exit code 0 and output containing +share = 4.0

  Scenario: Operator runs every command of the operations page unchanged
    # Guards against a page whose commands fail, because options changed after it was
    # written.
    When operator runs config set /teams/listdesk/limits --file - --yes with input share = 2.0
    And operator has limits.toml with share = 3.0
    Then operator runs the 5 commands of the operations page with exit code 0
