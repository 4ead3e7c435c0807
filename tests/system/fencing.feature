Feature: System: engines that enforce fencing tokens

  # Guards against an order of an agent's former run that still changes its engine, and
  # against an agent whose own orders are refused after it has started again.
  Scenario: agents start again beside engines that enforce fencing tokens
    Given fencing system of engines that enforce tokens runs
    When fencing system serves the adapters 0 to 5
    And fencing system's agents are killed and start again
    And fencing system serves the adapters 6 to 11
    Then fencing system's engines refused no order of an agent
    And fencing system's engines refuse an order with the token of the former run
