Feature: Adapter slots of one engine

  # Load pattern: a peak in which requests need more adapters than the engine has slots.
  Scenario: Engine slots never order more loads than slots, whatever is requested
    # Guards against an engine that crashes when it loads one adapter too many.
    Then engine slots stay within their limit for any requests, releases and reports

  Scenario: Engine slots keep what a request uses
    # Guards against an adapter that is unloaded while a request runs on it.
    Given engine slots with 2 slots and "a" and "b" loaded
    And engine slots granted "a" and "b"
    When engine slots get a request for "c"
    Then engine slots order nothing
    When engine slots see the end of "a"
    Then engine slots order the unload of "a"

  Scenario: Engine slots load the adapter of the most urgent rank first
    # Guards against urgent requests that wait behind less urgent ones during a peak.
    Given engine slots with 2 slots and nothing loaded
    When engine slots get requests for "low" with rank 2 and then for "high" with rank 0
    Then engine slots order the load of "high"

  Scenario: Engine slots evict the adapter that is least in demand
    # Load pattern: demand shifts. Guards against rare adapters that evict a popular one.
    Given engine slots with 2 slots and "hot" and "rare" loaded
    And engine slots have served "hot" 9 times and "rare" once
    When engine slots get a request for "new"
    Then engine slots order the unload of "rare"

  Scenario: Engine slots decline at once when every slot is pinned and many requests wait
    # Guards against callers who wait for a slot that won't be free before their deadline.
    Given engine slots with 2 slots and "a" and "b" loaded
    And engine slots granted "a" and "b"
    When engine slots get requests for 5 other adapters
    Then engine slots decline 5 with "slots in use"

  # Load pattern: a peak of requests for cold adapters on all engines of a weight store.
  Scenario: Engine slots order a third load only when one of two has finished
    # Guards against concurrent loads that slow each other down at the weight store.
    Given engine slots of an engine with 4 slots that is loading "x" and "y"
    When engine slots get a request for "z"
    Then engine slots order nothing
    When engine slots see that "x" is loaded and "y" is not
    Then engine slots order the load of "z"

  Scenario: Engine slots load a newer version before they grant it
    # Guards against requests that run on an old version after a newer one was announced.
    Given engine slots with 2 slots and "a" and "b" loaded
    When engine slots get an announcement of version 2 of "a" and a request for it
    Then engine slots grant nothing
    And engine slots order the load of "a"

  Scenario: Engine slots drop all pins when the engine restarts
    # Guards against slots that stay pinned by requests that ended with the engine.
    Given engine slots with 2 slots and "a" and "b" loaded
    And engine slots granted "a" and "b"
    When engine slots get a report of a restarted engine with nothing loaded
    Then engine slots have 2 free slots

  Scenario: Engine slots load the only model of an engine that started empty
    Given engine slots of an engine without a loaded model
    Then engine slots order the load of the model

  # Load pattern: many callers wait for slots and repeat their requests while they wait.
  Scenario: Engine slots keep the position and the deadline of a repeated request
    # Guards against requests that wait forever because each repetition extends their
    # deadline.
    Given engine slots with 2 slots and "a" and "b" loaded
    And engine slots granted "a" and "b"
    When engine slots get the same request for "c" every 0.3 s for 1.2 s
    Then engine slots have declined it once with "patience"

  # Load pattern: a peak that lasts longer than the latency objective, with more prompts
  # than the engine can prefill.
  Scenario: Engine slots serve requests first that can still meet their objective
    # Guards against a peak in which every answer is late, because each request waits
    # behind others that are late already.
    Given engine slots with 2 slots and "a" and "b" loaded
    And engine slots admitted a prompt of 4000 tokens
    When engine slots get a late request "old" and then one in time "new" for "a"
    And engine slots see that the prefill has finished
    Then engine slots grant "new" before "old"

  Scenario: Engine slots grant a request whose deadline passes while others are in prefill
    # Guards against a request that is retried from engine to engine although each of them
    # could run it.
    Given engine slots with 2 slots and "a" and "b" loaded
    And engine slots admitted a prompt of 4000 tokens
    When engine slots get a late request "old" and then one in time "new" for "a"
    And engine slots reach the wait deadline of both
    Then engine slots grant "old" before "new"
