Feature: Resolution of one request with a caller-chosen key

  # Guards against a request that is executed twice, or refused as not executed although
  # its attempt may run. Events are applied in order; the actions of the last event are
  # compared. The claim of this request is "me", the claim of another entry "it".
  Scenario Outline: Resolution answers or refuses a request according to its claim
    Given resolution after <history>
    Then resolution returns <actions>

    Examples: the claim of this request
      | history                                        | actions                               |
      | start free                                     | CreateClaim                           |
      | start free, claim                              | AppendClaim                           |
      | start free, no-target                          | Refuse no                             |
      | start free, claim, appended                    | WaitForOffset                         |
      | start free, claim, appended, applied me        | Dispatch                              |
      | start free, claim, applied me, changed me      | nothing                               |
      | start free, claim, applied me, refused no      | AppendAbandon me, CreateClaim         |
      | start free, claim, applied me, refused unknown | AppendOutcome unknown, Refuse unknown |
      | start free, claim, applied me, answered        | AppendOutcome yes                     |
      | start free, claim, applied free                | AppendAbandon me, CreateClaim         |

    # Guards against a claim that is dispatched after the request was refused.
    Examples: the log is unavailable
      | history                                      | actions                     |
      | start free, claim, append-failed             | AppendAbandon me, Refuse no |
      | start free, claim, append-failed, applied me | nothing                     |
      | start free, claim, timeout, applied me       | nothing                     |

    Examples: the claim of another entry
      | history                                         | actions                               |
      | start it                                        | QueryAgent 0.2                        |
      | start it, reported running                      | QueryAgent 0.5                        |
      | start it, reported finished                     | ReplayFromAgent                       |
      | start it, reported refused                      | AppendAbandon it                      |
      | start it, reported refused, changed free        | CreateClaim                           |
      | start it, reported unknown                      | AppendOutcome unknown, Refuse unknown |
      | start it, incarnation-ended                     | AppendOutcome unknown, Refuse unknown |
      | start it, changed finished                      | Replay                                |
      | start it, timeout                               | Refuse unknown                        |
      | start free, claim, applied it, reported refused, changed me | Dispatch                              |
      | start free, claim, applied it, changed finished | AppendAbandon me, Replay              |
      | start free, claim, applied conflict             | AppendAbandon me, Refuse no           |
      | start unknown                                   | Refuse unknown                        |
      | start settled                                   | Refuse yes                            |
