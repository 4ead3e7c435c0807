Feature: Statuses of targets that are no answers, on the product's own interface

  # Guards against a caller that gets a status which no client can read as an answer.
  Scenario Outline: Target client of a <kind> takes no status <status>
    When odd statuses reach the client of a <kind> as "<status>"
    Then target client reports that the request may have run

    Examples:
      | kind    | status |
      | service | 000    |
      | service | 099    |
      | service | 101    |
      | service | 600    |
      | service | 999    |
      | service | +200   |
      | service | 20_0   |
      | service | 0200   |
      | engine  | 000    |
      | engine  | 600    |

  # Guards against an interim response that is taken for the answer: the answer itself
  # would then be taken for that of the next request on the connection.
  Scenario Outline: Target client of a <kind> waits for the answer behind interim responses
    When odd statuses reach the client of a <kind> as "<statuses>"
    Then odd statuses give the client the status 200 and the body "ok"

    Examples:
      | kind    | statuses      |
      | service | 100, 200      |
      | service | 103, 200      |
      | service | 102, 103, 200 |
      | engine  | 103, 200      |

  # Guards against memory and time that interim responses without end take.
  Scenario: Target client gives up on many interim responses
    When odd statuses reach the client of a service as "103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 103, 200"
    Then target client reports that the request may have run
