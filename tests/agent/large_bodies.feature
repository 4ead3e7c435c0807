Feature: Bodies without end on the own interface

  # Guards against a process that exceeds its memory because urllib3 reads a body to its
  # end, however long it is.
  Scenario Outline: Body reader gives up on the <call> whose answer has no end
    Given body reader beside a peer that sends a body without end
    When body reader's client makes the <call>
    Then body reader's client fails and has read at most <limit> MB

    Examples:
      | call            | limit |
      | engine request  | 17    |
      | engine report   | 2     |
      | engine order    | 2     |
      | engine cancel   | 2     |
      | engine stream   | 17    |
      | service request | 17    |
      | log read        | 34    |
      | log append      | 34    |
      | host list       | 17    |

  # Guards against bodies that each stay within their limit and together do not.
  Scenario: Body reader bounds what bodies hold together
    Given body reader with room for 4 MB in all bodies
    When body reader reads 8 bodies of 1 MB without end at once
    Then body reader has given up 4 of them or more and kept its bound

  # Guards against a thread that reads single bytes for ever.
  Scenario: Body reader ends a body that takes too long
    Given body reader with room for 4 MB in all bodies
    When body reader reads a body of single bytes for at most 0.2 s
    Then body reader fails because the body takes longer
