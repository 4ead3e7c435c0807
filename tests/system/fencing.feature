Feature: System: engines that enforce fencing tokens

  # Guards against an order from an agent's previous run that still changes its engine, and
  # against a restarted agent whose own orders are refused as outdated.
  Scenario: agents restart beside engines that enforce fencing tokens
    Given fencing system with engines that enforce tokens runs
    When fencing system serves the adapters 0 to 5
    And fencing system's agents are killed and restarted
    And fencing system serves the adapters 6 to 11
    Then fencing system's engines refused no order of an agent
    And fencing system's engines refuse an order with a token from before the restart
