Feature: Permits for adapter loads

  Scenario: Load permits agree with a reference table for any records
    # Guards against more loads in flight, or more starts, than the weight store allows.
    Then load permits agree with a reference table for any records

  Scenario: Load permits are the same at agents that read them at different times
    # Guards against agents that compute different grants from the same records.
    Then load permits don't depend on when they are read

  Scenario: Load permits of a crashed holder expire after 2 s and renewed ones don't
    Given load permits with 1 permit held by a
    Then load permits grant b at 2 s, or at 3.5 s if a renews at 1.5 s

  Scenario: Load permits ignore a record that is read twice
    Then load permits of records read twice are those of records read once

  Scenario: Static share spaces the loads of many agents
    # Guards against more than 4.5 loads/s over all agents while the log is unavailable.
    Then static share of 13 agents starts at most 58 loads in 10 s
