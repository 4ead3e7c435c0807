Feature: Permits for adapter loads

  Scenario: Load permits agree with a plain version for any records
    # Guards against more loads in flight, or started, than the store takes.
    Then load permits agree with a plain recount for any records

  Scenario: Load permits are the same at a follower that looks ahead
    # Guards against agents that reach other grants because they asked at other times.
    Then load permits don't depend on when they are read

  Scenario: Load permits of a dead holder end after 2 s and renewed ones don't
    Given load permits with 1 place held by a
    Then load permits give b a place at 2 s, or at 3.5 s if a renews at 1.5 s

  Scenario: Load permits ignore a record that is read twice
    Then load permits of a record read twice are those of one

  Scenario: Static share spaces the loads of many agents
    # Guards against more than 4.5 loads/s while the log is down.
    Then static share of 13 agents starts at most 58 loads in 10 s
