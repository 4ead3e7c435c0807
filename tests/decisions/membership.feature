Feature: Which targets may get new work

  # Events name the second at which they arrive. States are "RUN:SEQUENCE STATUS".
  Scenario Outline: Membership joins the three sources
    Given membership after <history>
    Then membership at <at_s> says <reason>

    Examples: the agent's own notice
      | history                                          | at_s | reason         |
      | 0 nothing                                        | 0    | UNKNOWN_TARGET |
      | 0 A:1 live                                       | 1    | OK             |
      | 0 A:1 starting                                   | 1    | NOT_LIVE       |
      | 0 A:1 live, 1 A:2 leaving                        | 1    | LEAVING        |
      | 0 A:2 leaving, 1 A:1 live                        | 1    | LEAVING        |
      | 0 A:2 leaving, 1 B:1 live                        | 1    | OK             |
      | 0 A:2 leaving, 1 B:1 live, 2 A:1 live            | 2    | OK             |
      | 0 A:1 live, 1 B:1 live, 2 A:2 leaving            | 2    | LEAVING        |
      | 0 A:1 live, 1 B:1 live, 2 A:2 leaving, 3 B:2 live | 3   | OK             |
      | 0 A:1 live, 1 B:1 live, 20 A:2 live              | 20   | OK             |

    Examples: the host list
      | history                                          | at_s | reason         |
      | 0 A:1 live, 1 list leaving                       | 1    | HOST_LEAVING   |
      | 0 A:1 live, 1 list leaving, 2 B:1 live           | 2    | HOST_LEAVING   |
      | 0 A:1 live, 1 list leaving, 2 list absent        | 2    | HOST_LEAVING   |
      | 0 A:1 live, 1 list leaving, 2 list absent, 3 B:1 live | 3 | OK          |
      | 0 A:1 live, 1 list leaving, 2 list live          | 2    | OK             |
      | 0 A:1 live, 1 list absent                        | 1    | OK             |

    # Guards against new work on an old reading after a pause, or before the first one.
    Examples: the age of the host list
      | history                                          | at_s | reason         |
      | 0 strict, 0 A:1 live                             | 0    | STALE          |
      | 0 strict, 0 A:1 live, 0 list live                | 5    | OK             |
      | 0 strict, 0 A:1 live, 0 list live                | 5.1  | STALE          |
      | 0 strict, 0 A:1 live, 0 list live, 5 list fails  | 6    | OK             |

    Examples: own failures to reach the agent
      | history                                          | at_s | reason         |
      | 0 A:1 live, 1 unreachable                        | 1    | UNREACHABLE    |
      | 0 A:1 live, 1 unreachable, 2 heard               | 2    | OK             |
      | 0 A:1 live, 1 sent                               | 3.9  | OK             |
      | 0 A:1 live, 1 sent                               | 4.1  | SILENT         |
      | 0 A:1 live, 1 sent, 3 heard                      | 5.9  | OK             |
      | 0 A:1 live, 1 sent, 2 ended                      | 24.9 | OK             |
      | 0 A:1 live                                       | 25.1 | SILENT         |

  # Guards against holding back work from the targets that are left.
  Scenario: Membership reports a failure domain that is not reached at all
    Given membership after 0 A:1 live, 1 unreachable
    Then membership at 1 has unreachable domains d1
