Feature: Claims on idempotency keys

  # Guards against two executions under one key.
  # Records are "HOUR KIND CLAIM-ID", with the log time in hours. The key lifetime is 24
  # hours. A tick is a record on another key, which only advances the log time.
  Scenario Outline: Claims are won by the lowest offset that was not abandoned
    Given claims after <history>
    Then claims have status <status> for body <body>

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

    # Guards against a claim that takes effect again because its append was repeated or
    # reached the log after the claim was abandoned.
    Examples: delayed and repeated records
      | history                                          | body | status     |
      | 0 abandon a, 0 claim a                           | d    | Free       |
      | 0 claim a, 0 abandon a, 0 claim b, 0 claim a     | d    | Open b     |
      | 0 claim a, 0 claim a, 0 abandon a                | d    | Free       |
      | 0 claim a, 0 unknown a, 0 outcome a              | d    | Finished a |
      | 0 claim a, 0 outcome a, 0 unknown a              | d    | Finished a |

    Examples: unknown outcomes settled by operators
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

  # Guards against entries that reach different results for one key from the same log.
  Scenario: Claims agree with a replay of the whole log
    Then claims agree with a reference replay of random logs

  # Guards against an entry that reaches other results because it started late, when the
  # log had dropped records older than one key lifetime.
  Scenario: Claims agree after a start from a truncated stream
    Then claims agree with a table built from the last key lifetime of the log
