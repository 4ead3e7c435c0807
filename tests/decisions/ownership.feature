Feature: Fencing token and lease of one target

  # "lease RUN OFFSET [MIN]" is a record of the stream; the run under test is "me".
  Scenario Outline: Ownership allows orders only with a checked token
    Given ownership after <history>
    Then ownership at <at_s> has token <token> and <verdict>

    Examples:
      | history                                             | at_s | token | verdict      |
      | 0 nothing                                           | 0    | none  | no orders    |
      | 0 lease me 7, 1 followed                            | 1    | 7     | orders       |
      | 0 lease me 7                                        | 1    | 7     | no orders    |
      | 0 lease me 7 20, 1 followed                         | 1    | 20    | orders       |
      | 0 lease old 5, 0 lease me 7, 1 followed             | 1    | 7     | orders       |
      | 0 lease old 5 30, 0 lease me 7, 1 followed          | 1    | 31    | orders       |
      | 0 lease old 5 30, 0 lease me 7 30, 1 followed       | 1    | 31    | orders       |
      | 0 lease me 7, 1 followed, 2 lease new 8             | 2    | none  | no orders    |
      | 0 lease old 5, 0 lease me 7, 1 followed, 2 lease old 9 | 2 | 7     | orders       |

    # Guards against a holder that resumes unaware that its lease has expired.
    Examples: pauses
      | history                                             | at_s | token | verdict      |
      | 0 lease me 7, 1 followed                            | 11   | 7     | orders       |
      | 0 lease me 7, 1 followed                            | 11.1 | 7     | no orders    |
      | 0 lease me 7, 1 followed, 12 ask, 13 followed       | 13   | 7     | orders       |
      | 0 lease me 7, 1 followed, 1 ask, 12 followed-asked  | 12   | 7     | no orders    |
      | 0 lease me 7, 1 followed, 12 down, 12 engine 7      | 12   | 7     | no orders    |

    Examples: the log is down
      | history                                             | at_s | token | verdict      |
      | 0 down, 0 engine 4                                  | 0    | 5     | orders       |
      | 0 down, 0 engine 4, 1 lease old 2, 1 lease me 3 5, 2 followed | 2 | 5  | orders       |

  # Guards against a superseded owner that takes the target back.
  Scenario Outline: Ownership asks for a record when it has no usable token
    Given ownership after <history>
    Then ownership wants <record>

    Examples:
      | history                                             | record      |
      | 0 nothing                                           | min token 1 |
      | 0 engine 9                                          | min token 10 |
      | 0 lease me 7, 1 followed                            | nothing     |
      | 0 lease me 7, 1 followed, 1 engine 9                | min token 10 |
      | 0 lease me 7, 1 followed, 12 engine 9               | nothing     |
      | 0 lease me 7, 1 followed, 1 lease new 8, 1 engine 9 | nothing     |
