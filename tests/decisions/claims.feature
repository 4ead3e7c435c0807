Feature: Claims on idempotency keys

  # Records are "KIND ID" with the log time in hours; the lifetime is 24 hours.
  Scenario Outline: Claims decide by the lowest offset that is not abandoned
    Given claims after <history>
    Then claims say <status> to body <body>

    Examples:
      | history                                          | body | status     |
      | 0 nothing                                        | d    | Free       |
      | 0 claim a, 0 claim b                             | d    | Open a     |
      | 0 claim a, 0 claim b, 0 abandon a                | d    | Open b     |
      | 0 claim a, 0 abandon a                           | d    | Free       |
      | 0 claim a                                        | e    | Conflict a |
      | 0 claim a, 0 abandon a, 0 claim b                | e    | Conflict b |
      | 0 claim a, 0 outcome a                           | d    | Finished a |
      | 0 claim a, 0 outcome a, 0 abandon a              | d    | Finished a |
      | 0 claim a, 0 claim b, 0 outcome b                | d    | Open a     |

    # Guards against appends that are repeated or arrive after their abandonment.
    Examples: late and repeated records
      | history                                          | body | status     |
      | 0 abandon a, 0 claim a                           | d    | Free       |
      | 0 claim a, 0 abandon a, 0 claim b, 0 claim a     | d    | Open b     |
      | 0 claim a, 0 claim a, 0 abandon a                | d    | Free       |
      | 0 claim a, 0 unknown a, 0 outcome a              | d    | Finished a |
      | 0 claim a, 0 outcome a, 0 unknown a              | d    | Finished a |

    Examples: operators
      | history                                          | body | status     |
      | 0 claim a, 0 unknown a                           | d    | Unknown a  |
      | 0 claim a, 0 unknown a, 0 settle-no a            | d    | Free       |
      | 0 claim a, 0 unknown a, 0 settle-yes a, 0 settle-no a | d | SettledExecuted a |
      | 0 claim a, 0 unknown a, 0 settle-no a, 0 claim b, 0 settle-yes a | d | Open b |

    Examples: expiry by log time
      | history                                          | body | status     |
      | 0 claim a, 0 outcome a, 24 tick                  | d    | Finished a |
      | 0 claim a, 0 outcome a, 25 tick                  | d    | Free       |
      | 0 claim a, 20 claim b, 25 tick                   | d    | Open b     |

  # Guards against entries that decide differently about one key.
  Scenario: Claims agree with a replay of the whole log
    Then claims agree with a plain replay over random logs

  # Guards against entries that decide differently after they join late.
  Scenario: Claims agree after a start from a shortened stream
    Then claims agree with a table that began one lifetime ago
