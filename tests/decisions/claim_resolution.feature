Feature: Steps of one request with a caller-chosen key

  # Events are applied in order; the actions of the last event are compared. The own
  # claim is "me", that of another entry "it".
  Scenario Outline: Resolution ends in one truthful way
    Given resolution after <history>
    Then resolution acts <actions>

    Examples: the own claim
      | history                                          | actions               |
      | start free                                       | CreateClaim             |
      | start free, claim                                | AppendClaim           |
      | start free, no-target                            | Refuse no             |
      | start free, claim, appended                      | WaitForOffset                |
      | start free, claim, appended, followed me         | Dispatch              |
      | start free, claim, followed me, changed me       | nothing               |
      | start free, claim, followed me, refused no       | AppendAbandon me, CreateClaim |
      | start free, claim, followed me, refused unknown  | AppendOutcome unknown, Refuse unknown |
      | start free, claim, followed me, answered         | AppendOutcome yes     |
      | start free, claim, followed free                 | AppendAbandon me, CreateClaim |

    # Guards against a claim that is dispatched after its refusal.
    Examples: the log is down
      | history                                          | actions               |
      | start free, claim, append-failed                 | AppendAbandon me, Refuse no |
      | start free, claim, append-failed, followed me    | nothing               |
      | start free, claim, timeout, followed me          | nothing               |

    Examples: the claim of another entry
      | history                                          | actions               |
      | start it                                         | QueryAgent 0.2        |
      | start it, said running                           | QueryAgent 0.5        |
      | start it, said finished                          | ReplayFromAgent       |
      | start it, said refused                           | AppendAbandon it      |
      | start it, said refused, changed free             | CreateClaim             |
      | start it, said unknown                           | AppendOutcome unknown, Refuse unknown |
      | start it, gone                                   | AppendOutcome unknown, Refuse unknown |
      | start it, changed finished                       | Replay                |
      | start it, timeout                                | Refuse unknown        |
      | start free, claim, followed it, said refused, changed me | Dispatch      |
      | start free, claim, followed it, changed finished | AppendAbandon me, Replay |
      | start free, claim, followed conflict             | AppendAbandon me, Refuse no |
      | start unknown                                    | Refuse unknown        |
      | start settled                                    | Refuse yes            |
