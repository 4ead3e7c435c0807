Feature: What targets say of themselves in their answers

  Scenario: Direct path sends nothing more to a target that says that it leaves
    # Guards against requests to a leaving target until the list of targets tells of it.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets say in the next answer that they leave, "p1" only
    When direct path gets 12 requests to "/safe/x" one after another
    Then direct path answered all of them with 200
    And direct path target "p1" ran at most 1 of them

  Scenario: Direct path heeds a leaving engine while its stream runs on
    # Guards against work that is sent to a leaving engine until its answer has ended.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path engines take 0.2 s per event
    And direct path one target handles the next request as "leaving"
    When direct path gets a stream and 0.3 s later another for adapter "a1"
    Then direct path ran them on different engines

  Scenario: Direct path refuses at once if all targets want no work, and tells for how long
    # Guards against requests to targets that asked for a pause, and callers that come back
    # before it ends.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "pausing"
    When direct path gets 3 requests to "/safe/x" one after another
    Then direct path refused all of them as not executed, to come back after 2.0 s or more
    And direct path targets got 2 requests in all
