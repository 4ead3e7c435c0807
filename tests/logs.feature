Feature: Log lines

  Scenario: Logs hold the process and the fields that the code gives
    # Guards against lines that can't be searched by attempt or team.
    Given logs of process "entry-1" in json
    When logs receive "dispatched" with team "a", target "x", config_offset 7
    Then logs hold an object with process "entry-1", team "a", target "x"

  Scenario Outline: Logs never show secrets
    # Guards against operator tokens and keys in the log.
    Given logs of process "entry-1" in <format> with a minted secret
    When logs receive secrets in messages, fields, headers and a failing thread
    Then logs hold 7 records and no secret

    Examples:
      | format |
      | json   |
      | text   |

  Scenario: Logs keep one line for a message with a line break
    # Guards against request content that poses as a log line.
    Given logs of process "entry-1" in text
    When logs receive a message with a line break
    Then logs hold 1 line
