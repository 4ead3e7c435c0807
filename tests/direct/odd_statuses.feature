Feature: Statuses of targets that are no answers in the protocol

  # Guards against a caller that gets a status which no client can read as an answer: HTTP
  # has final statuses from 200 to 599 only.
  Scenario Outline: Direct path passes no status <status> on
    Given direct path with a store, a configuration and two plain targets
    And odd statuses come from all targets next, as "<status>"
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 502 with execution unknown

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 20     |
      | +20    |
      | 2000   |
      | 2_0    |

  Scenario Outline: Direct path answers at another target if one sends the status <status>
    Given direct path with a store, a configuration and two plain targets
    And odd statuses come from one target next, as "<status>"
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature

    Examples:
      | status |
      | 000    |
      | 600    |
