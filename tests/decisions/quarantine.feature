Feature: Quarantine of requests that crash targets

  # Guards against a crashing request that is not identified, and against a quarantine of a
  # request that only ran beside it. "MINUTE crash TARGET INCARNATION FINGERPRINT..." is a
  # record of the stream, with the log time in minutes.
  Scenario Outline: Quarantine identifies the request that crashes targets
    Given quarantine after <history>
    Then quarantine has suspects <suspects> and quarantined <quarantined>

    Examples:
      | history                                       | suspects | quarantined |
      | 0 crash x 1 a b                               | a b      | -           |
      | 0 crash x 1 a b, 1 crash y 1 a c              | b        | a           |
      | 0 crash x 1 a b, 1 crash y 1 a b              | a b      | -           |
      | 0 crash x 1 a b, 1 clear b, 2 crash y 1 a b   | -        | a           |
      | 0 crash x 1 a, 1 crash x 1 a                  | a        | -           |
      | 0 crash x 1 a, 1 crash x 2 a, 2 lift a        | -        | -           |
      | 0 crash x 1 a, 1 crash x 2 a, 2 crash x 3 a b | b        | a           |
      | 0 crash x 1 a, 10 crash y 1 b                 | a b      | -           |
      | 0 crash x 1 a, 11 crash y 1 b                 | b        | -           |
      | 0 crash x 1 a, 1 crash x 2 a, 1442 clear b    | -        | -           |
      | 0 crash x 1 a b c d                           | b c d    | -           |

  # Guards against two suspects in one batch, of which a crash can't identify the cause.
  Scenario: Quarantine admits one suspect to a target at a time
    Given quarantine after 0 crash x 1 a b
    Then quarantine admits a to y as RUN
    And quarantine admits b to y as HOLD
    And quarantine admits c to y as RUN
    And quarantine admits b to z as RUN
    And quarantine requires a clear record when a finishes on y
    And quarantine admits b to y as RUN

  # Guards against a request that crashes more than two targets, whatever else is in their
  # batches.
  Scenario: Quarantine stops a crashing request after two targets
    Then quarantine stops one crashing request among others after two crashes

  # Guards against one team's request that is cleared or quarantined by another team's.
  Scenario: Quarantine keeps equal requests of two teams apart
    Then quarantine names equal requests of two teams, and of two adapters, differently

  # Guards against a request that is cleared although its run did not end well, or that is
  # forgotten because its engine answered the one beside it.
  Scenario: Quarantine is not cleared by runs that did not finish, or by others
    Given quarantine after 0 crash x 1 a b
    Then quarantine requires no clear record when a leaves y unfinished
    And quarantine requires no clear record when c finishes on y
    And quarantine admits a to y as RUN
