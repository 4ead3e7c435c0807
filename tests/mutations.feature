Feature: Mutations

  Scenario: Mutations replace a text that occurs once in its module
    # Guards against a mutation that can't be tried because its module was changed since.
    Then mutations find each text to replace exactly once

  Scenario: Mutations name a scenario of their feature
    # Guards against a mutation whose scenario was renamed, so that no test is run.
    Then mutations find each scenario
