Feature: Refusals

  # Guards against callers that come back before they can be served, or at once: the
  # header has hundredths of a second.
  Scenario Outline: Refusals never name a time to come back that is too early
    Then a refusal for <wait> s has the header "Retry-After: <named>"

    Examples:
      | wait   | named |
      | 0.0    | 0.00  |
      | 0.0004 | 0.01  |
      | 0.004  | 0.01  |
      | 0.36   | 0.36  |
      | 1.231  | 1.24  |
