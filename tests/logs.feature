Feature: Log lines

  Scenario: Logs contain the process and the fields of the record
    # Guards against lines that can't be searched by team or target, because a formatter
    # drops the fields.
    Given logs of process "entry-1" in json
    When logs receive "dispatched" with team "a", target "x", config_offset 7
    Then logs contain an object with process "entry-1", team "a", target "x"

  Scenario Outline: Logs never show secrets
    # Guards against operator tokens, idempotency keys and the secret of minted keys in the
    # log, for example in the traceback of an error that quotes a request.
    Given logs of process "entry-1" in <format> with a minted secret
    When logs receive secrets in messages, fields, headers and a failing thread
    Then logs contain 7 records and no secret

    Examples:
      | format |
      | json   |
      | text   |

  Scenario: Logs keep one line for a message with a line break
    # Guards against request content that is taken for a log line, because it contains a
    # line break.
    Given logs of process "entry-1" in text
    When logs receive a message with a line break
    Then logs contain 1 line
