Feature: Adapter slots of one engine

  # Load pattern: a crest in which more adapters are asked for than the engine has slots.
  Scenario: Engine slots never order more loads than slots, whatever is asked
    # Guards against an engine that crashes under one load too many.
    Then engine slots stay within their limit for any requests, releases and reports

  Scenario: Engine slots keep what a request uses
    # Guards against an adapter that is unloaded under a request.
    Given engine slots with 2 slots that hold "a" and "b"
    And engine slots granted "a" and "b"
    When engine slots are asked for "c"
    Then engine slots order nothing
    When engine slots see the end of "a"
    Then engine slots order the unload of "a"

  Scenario: Engine slots give way to the most urgent rank first
    # Guards against urgent work that waits behind less urgent work at the crest.
    Given engine slots with 2 slots that hold nothing
    When engine slots are asked for "low" with rank 2 and then for "high" with rank 0
    Then engine slots order the load of "high"

  Scenario: Engine slots unload what is least in demand
    # Load pattern: popularity shifts, and a popular adapter must survive rare ones.
    Given engine slots with 2 slots that hold "hot" and "rare"
    And engine slots have served "hot" 9 times and "rare" once
    When engine slots are asked for "new"
    Then engine slots order the unload of "rare"

  Scenario: Engine slots decline at once when running work holds every slot and many wait
    # Guards against callers who wait for a slot that won't be free in time.
    Given engine slots with 2 slots that hold "a" and "b"
    And engine slots granted "a" and "b"
    When engine slots are asked for 5 other adapters
    Then engine slots decline 5 with "slots in use"

  # Load pattern: a crest of cold adapters on all engines of one weight store.
  Scenario: Engine slots order a third load only when one of two has ended
    # Guards against loads that slow each other down at the weight store.
    Given engine slots of an engine with 4 slots that loads "x" and "y"
    When engine slots are asked for "z"
    Then engine slots order nothing
    When engine slots see that "x" is loaded and "y" is not
    Then engine slots order the load of "z"

  Scenario: Engine slots load a newer version before they grant it
    # Guards against an old version that runs after a newer one was named.
    Given engine slots with 2 slots that hold "a" and "b"
    When engine slots learn of version 2 of "a" and are asked for it
    Then engine slots grant nothing
    And engine slots order the load of "a"

  Scenario: Engine slots forget all holds when the engine starts anew
    # Guards against slots that stay blocked by requests that ended with the engine.
    Given engine slots with 2 slots that hold "a" and "b"
    And engine slots granted "a" and "b"
    When engine slots get a report of a new start that holds nothing
    Then engine slots have 2 free slots

  Scenario: Engine slots load the only model after an empty start
    Given engine slots of an engine that holds no model
    Then engine slots order the load of the model

  # Load pattern: many callers wait for slots and repeat their requests while they wait.
  Scenario: Engine slots keep the place and the patience of a request that is repeated
    # Guards against requests that wait for good because each repeat renews their patience.
    Given engine slots with 2 slots that hold "a" and "b"
    And engine slots granted "a" and "b"
    When engine slots are asked for "c" and again every 0.3 s for 1.2 s
    Then engine slots have declined it once with "patience"

  # Load pattern: a crest longer than the objective, with more prompts than can be read.
  Scenario: Engine slots serve first what can still be in time
    # Guards against a crest in which every answer is late, because each waits behind
    # others that are late already.
    Given engine slots with 2 slots that hold "a" and "b"
    And engine slots let a prompt of 4000 tokens through
    When engine slots get a late request "old" and then one in time "new" for "a"
    And engine slots see that the prompt is read
    Then engine slots grant "new" before "old"

  Scenario: Engine slots grant a request whose patience ends while prompts are read
    # Guards against a request that is sent from engine to engine though each could run it.
    Given engine slots with 2 slots that hold "a" and "b"
    And engine slots let a prompt of 4000 tokens through
    When engine slots get a late request "old" and then one in time "new" for "a"
    And engine slots reach the end of their patience
    Then engine slots grant "old" before "new"
