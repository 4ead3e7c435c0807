Feature: Which shared rights an agent holds

  Four agents; the first three hold the right, and the fourth one is the next in order.

  # Guards against agents that grant because an entry with an older list asks them.
  Scenario: Holder role goes by the newer one of two lists
    Given holder roles of 4 agents that have read up to 100 for 60 s
    Then holder role 1 asked by an entry at 90 is "holder"
    And holder role 4 asked by an entry at 100 is "not holder"
    When holder role 4 has read up to 110 that agent 1 is gone
    Then holder role 4 asked by an entry at 105 is "asking"

  # Guards against a new holder that grants before the former one can have answered, and
  # against rights without a holder while an agent that is asked is gone.
  Scenario: Holder role waits for agreement after a change, and not for long
    Given holder roles of 4 agents that have read up to 100 for 60 s
    And holder roles get no messages
    When holder role 4 has read up to 110 that agent 1 is gone
    Then holder role 4 asked by an entry at 110 is "asking"
    And holder role 4 asked by an entry at 110 is "settling" 0.2 s later
    And holder role 4 asked by an entry at 110 is "holder" 0.1 s later, since 0.25 s after the change

  # Guards against the same when only the entry has read of the change.
  Scenario: Holder role waits when an entry has read further
    Given holder roles of 4 agents that have read up to 100 for 60 s
    And holder roles get no messages
    Then holder role 4 asked by an entry at 110 is "asking"
    And holder role 4 asked by an entry at 110 is "settling" 0.2 s later
    And holder role 4 asked by an entry at 110 is "holder" 0.1 s later

  # Guards against a wait of some seconds after each start of an agent.
  Scenario: Holder role begins at once if the other agents agree
    Given holder roles of 4 agents that have read up to 100 for 60 s
    When holder role 2 starts again and reads up to 120
    Then holder role 2 asked by an entry at 100 is "asking"
    When holder roles exchange their messages about the right
    Then holder role 2 asked by an entry at 100 is "holder"
    And holder role 1 asked by an entry at 100 is "holder"

  # Guards against a former holder that goes on, because the new one has started since and
  # can't know it: its engine is no longer listed, but it runs, and an entry asks it.
  Scenario: Holder role asks a holder that has left lately if another agent knows of it
    Given holder roles of 4 agents that have read up to 100 for 60 s
    When holder roles 2, 3 and 4 have read up to 110 that agent 1 is gone
    And holder role 4 starts again and reads up to 120 that agent 1 is gone
    Then holder role 4 asked by an entry at 120 is "asking"
    When holder roles exchange their messages about the right
    Then holder role 4 asked by an entry at 120 is "holder"
    And holder role 1 asked by an entry at 100 is "not holder"

  # Guards against a former holder that grants to entries that have read as little as it.
  Scenario: Holder role ceases once it has agreed to another holder
    Given holder roles of 3 agents that have read up to 100 for 60 s
    When a new agent that is a holder of the right has read up to 110
    Then the new holder role asked by an entry at 110 is "asking"
    When holder roles exchange their messages about the right
    Then the new holder role asked by an entry at 110 is "holder"
    And the replaced holder role asked by an entry at 100 is "not holder"

  # Guards against an agent that goes on granting because it has not read the list since
  # its start, and so takes no part in what others agree on.
  Scenario: Holder role without a list ceases once it has agreed to another holder
    Given holder roles of 4 agents that have read up to 100 for 60 s
    When holder role 4 starts again and reads nothing
    Then holder role 4 asked by an entry at 110 is "asking"
    And holder role 4 asked by an entry at 110 is "holder" 0.3 s later
    When holder role 1 starts again and reads up to 120
    Then holder role 1 asked by an entry at 120 is "asking"
    When holder roles exchange their messages about the right
    Then holder role 1 asked by an entry at 120 is "holder"
    And holder role 4 asked by an entry at 110 is "not holder"

  # Guards against a frozen agent that answers old requests before it has read the list.
  Scenario: Holder role asks the others after it stood still
    Given holder roles of 4 agents that have read up to 100 for 60 s
    When holder roles 2, 3 and 4 have read up to 110 that agent 1 is gone
    And holder role 1 stood still for 10 s
    Then holder role 1 asked by an entry at 100 is "asking"
    When holder roles exchange their messages about the right
    Then holder role 1 asked by an entry at 100 is "not holder"

  # Guards against an agent that is no holder for good after offsets have begun again.
  Scenario: Holder role forgets after 60 s that it has agreed to another holder
    Given holder roles of 3 agents that have read up to 100 for 60 s
    When a new agent that is a holder of the right has read up to 9000
    Then the new holder role asked by an entry at 9000 is "asking"
    When holder roles exchange their messages about the right
    And holder roles know again, up to 50, that there are 3 agents
    Then the replaced holder role asked by an entry at 50 is "not holder"
    And the replaced holder role asked by an entry at 50 is "holder" 60 s later
