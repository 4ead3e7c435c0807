Feature: Batches of claim records

  # Guards against one append for each request, and against records that are delayed
  # although neither the window nor an append in progress requires it.
  # Events are "TIME-IN-MS EVENT"; a batch holds at most three records.
  Scenario Outline: Batches are due when the window or the previous append ends
    Given batches after <history>
    Then batches at <at_ms> ms return <batch> with a window of <window_ms> ms

    Examples:
      | history                                       | at_ms | batch | window_ms |
      | 0 add a                                       | 4     | -     | 5         |
      | 0 add a, 3 add b                              | 5     | a b   | 5         |
      | 0 add a, 5 take, 6 add b                      | 50    | -     | 5         |
      | 0 add a, 5 take, 6 add b, 20 done             | 20    | b     | 15        |
      | 0 add a, 5 take, 20 done, 20 add b            | 25    | b     | 5         |
      | 0 add a, 5 take, 6 add b, 20 limited          | 29    | -     | 10        |
      | 0 add a, 5 take, 6 add b, 20 limited          | 30    | b     | 10        |
      | 0 add a, 5 take, 6 add b, 900 done            | 900   | b     | 500       |
      | 0 add a, 5 take, 6 add b, 20 done, 20 take, 30 done, 30 add c | 37.5 | c | 7.5 |
      | 0 add a, 0 add b, 1 withdraw a                | 5     | b     | 5         |
      | 0 add a, 0 add b, 0 add c, 0 add d            | 0     | a b c | 5         |
