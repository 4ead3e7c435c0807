Feature: Lease and fencing token of one target

  # Guards against two agent incarnations that send orders to one engine at the same
  # time. Events start with the second at which they happen. "lease INCARNATION OFFSET
  # [MIN-TOKEN]" is a record of the stream, "engine TOKEN" the last token that the engine
  # has accepted; the incarnation under test is "me".
  Scenario Outline: Ownership allows orders only with a checked token
    Given ownership after <history>
    Then ownership at <at_s> has token <token> and <verdict>

    Examples:
      | history                                            | at_s | token | verdict   |
      | 0 nothing                                          | 0    | none  | no orders |
      | 0 lease me 7, 1 read                               | 1    | 7     | orders    |
      | 0 lease me 7                                       | 1    | 7     | no orders |
      | 0 lease me 7 20, 1 read                            | 1    | 20    | orders    |
      | 0 lease old 5, 0 lease me 7, 1 read                | 1    | 7     | orders    |
      | 0 lease old 5 30, 0 lease me 7, 1 read             | 1    | 31    | orders    |
      | 0 lease old 5 30, 0 lease me 7 30, 1 read          | 1    | 31    | orders    |
      | 0 lease me 7, 1 read, 2 lease new 8                | 2    | none  | no orders |
      | 0 lease old 5, 0 lease me 7, 1 read, 2 lease old 9 | 2    | 7     | orders    |

    # Guards against an owner that goes on after a pause without noticing that its lease
    # has expired.
    Examples: pauses
      | history                                            | at_s | token | verdict   |
      | 0 lease me 7, 1 read                               | 11   | 7     | orders    |
      | 0 lease me 7, 1 read                               | 11.1 | 7     | no orders |
      | 0 lease me 7, 1 read, 12 start-read, 13 read       | 13   | 7     | orders    |
      | 0 lease me 7, 1 read, 1 start-read, 12 finish-read | 12   | 7     | no orders |
      | 0 lease me 7, 1 read, 12 down, 12 engine 7         | 12   | 7     | no orders |

    Examples: the log is unavailable
      | history            | at_s | token | verdict |
      | 0 down, 0 engine 4 | 0    | 5     | orders  |
      | 0 down, 0 engine 4, 1 lease old 2, 1 lease me 3 5, 2 read | 2    | 5     | orders  |

  # Guards against a superseded owner that becomes the owner again.
  Scenario Outline: Ownership needs a lease record when it has no usable token
    Given ownership after <history>
    Then ownership needs <record>

    Examples:
      | history                                         | record       |
      | 0 nothing                                       | min token 1  |
      | 0 engine 9                                      | min token 10 |
      | 0 lease me 7, 1 read                            | nothing      |
      | 0 lease me 7, 1 read, 1 engine 9                | min token 10 |
      | 0 lease me 7, 1 read, 12 engine 9               | nothing      |
      | 0 lease me 7, 1 read, 1 lease new 8, 1 engine 9 | nothing      |
