Feature: Statuses of the platform's services that are no answers

  # Guards against answers of the log service that are taken for those of other requests.
  Scenario Outline: Platform clients take no status <status>
    When odd statuses reach the client of a platform as "<status>"
    Then odd statuses make the client say that the request may have arrived

    Examples:
      | status |
      | 000    |
      | 600    |
      | 20_0   |

  Scenario: Platform clients wait for the answer behind interim responses
    When odd statuses reach the client of a platform as "103, 200"
    Then odd statuses give the client the status 200 and the body "ok"
