Feature: Which targets may get new work

  # Guards against new work for a target that drains or can't be reached. Events start with
  # the second at which they arrive. "INCARNATION:SEQUENCE STATUS" is a state report of the
  # agent.
  Scenario Outline: Membership combines the three sources
    Given membership after <history>
    Then membership at <at_s> gives <reason>

    Examples: the agent's state reports
      | history                                           | at_s | reason         |
      | 0 nothing                                         | 0    | UNKNOWN_TARGET |
      | 0 A:1 live                                        | 1    | OK             |
      | 0 A:1 starting                                    | 1    | NOT_LIVE       |
      | 0 A:1 live, 1 A:2 leaving                         | 1    | DRAINING       |
      | 0 A:2 leaving, 1 A:1 live                         | 1    | DRAINING       |
      | 0 A:2 leaving, 1 B:1 live                         | 1    | OK             |
      | 0 A:2 leaving, 1 B:1 live, 2 A:1 live             | 2    | OK             |
      | 0 A:1 live, 1 B:1 live, 2 A:2 leaving             | 2    | DRAINING       |
      | 0 A:1 live, 1 B:1 live, 2 A:2 leaving, 3 B:2 live | 3    | OK             |
      | 0 A:1 live, 1 B:1 live, 20 A:2 live               | 20   | OK             |

    Examples: the host list
      | history                                   | at_s | reason        |
      | 0 A:1 live, 1 list leaving                | 1    | HOST_DRAINING |
      | 0 A:1 live, 1 list leaving, 2 B:1 live    | 2    | HOST_DRAINING |
      | 0 A:1 live, 1 list leaving, 2 list absent | 2    | HOST_DRAINING |
      | 0 A:1 live, 1 list leaving, 2 list absent, 3 B:1 live | 3    | OK            |
      | 0 A:1 live, 1 list leaving, 2 list live   | 2    | OK            |
      | 0 A:1 live, 1 list absent                 | 1    | OK            |

    # Guards against new work for a draining host because the entry was paused and its last
    # reading of the host list is old, or because it has not read the list yet.
    Examples: the age of the host list
      | history                                          | at_s | reason |
      | 0 max-age, 0 A:1 live                            | 0    | STALE  |
      | 0 max-age, 0 A:1 live, 0 list live               | 5    | OK     |
      | 0 max-age, 0 A:1 live, 0 list live               | 5.1  | STALE  |
      | 0 max-age, 0 A:1 live, 0 list live, 5 list fails | 6    | OK     |

    Examples: the entry's failures to reach the agent
      | history                               | at_s | reason       |
      | 0 A:1 live, 1 unreachable             | 1    | UNREACHABLE  |
      | 0 A:1 live, 1 unreachable, 2 message  | 2    | OK           |
      | 0 A:1 live, 1 dispatched              | 3.9  | OK           |
      | 0 A:1 live, 1 dispatched              | 4.1  | UNRESPONSIVE |
      | 0 A:1 live, 1 dispatched, 3 message   | 5.9  | OK           |
      | 0 A:1 live, 1 dispatched, 2 completed | 24.9 | OK           |
      | 0 A:1 live                            | 25.1 | UNRESPONSIVE |

  # Guards against refusing work that the remaining targets could run while a failure
  # domain is down.
  Scenario: Membership reports a failure domain in which no agent can be reached
    Given membership after 0 A:1 live, 1 unreachable
    Then membership at 1 has unreachable domains d1
