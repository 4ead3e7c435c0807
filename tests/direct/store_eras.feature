Feature: A store that comes back from an older copy

  What was written since the copy is gone, offsets are given out again, and the era rises.

  # Guards against a new version that is passed over for good, because its offset was read
  # before the restore, or because nobody looks there any more.
  Scenario Outline: Direct path follows the configuration after a restore, <form>, <agents>
    Given store eras of a system <agents>
    And store eras have a copy, and two routes that were written after it
    When store eras restore the store after 1 s away, and all is written again <form>
    Then store eras have the third route at all entries within 2 s
    And store eras have the second route at all entries

    Examples:
      | agents         | form                   |
      | with agents    | in another order       |
      | with agents    | with fewer records     |
      | with agents    | with as many records   |
      | without agents | in another order       |
      | without agents | with fewer records     |
      | without agents | with as many records   |

  # Guards against the same when a restore follows another one.
  Scenario: Direct path follows the configuration after two restores in series
    Given store eras of a system with agents
    And store eras have a copy, and two routes that were written after it
    When store eras restore the store after 1 s away
    And store eras restore the store after 1 s away, and all is written again in another order
    Then store eras have the third route at all entries within 2 s
    And store eras have the second route at all entries

  # Guards against the same at an entry that was cut off from the store meanwhile, and
  # hears of two eras at once.
  Scenario Outline: Direct path entry that <does> follows the configuration after two restores
    Given store eras of a system with agents
    And store eras have a copy, and two routes that were written after it
    And store eras have the other entry <state>
    When store eras restore the store after 1 s away
    And store eras restore the store after 1 s away, and all is written again in another order
    And store eras have the other entry <state> no more
    Then store eras have the third route at all entries within 2 s
    And store eras have the second route at all entries

    Examples:
      | does                   | state                 |
      | did not read           | cut off from the store |
      | starts in the meantime | stopped               |

  # Guards against a key that is accepted again, because the copy has it.
  Scenario: Direct path accepts no key that was taken away in the lost seconds
    Given store eras of a system with accounts
    And store eras have a copy, and a key was taken away after it
    When store eras restore the store after 1 s away
    Then store eras have entries refuse the key for 3 s

  # Guards against a key that a process accepts again because it takes its read of the
  # copy for proof, although agents or entries know better.
  Scenario Outline: Direct path accepts no key that was taken away in the lost seconds, <who>
    Given store eras of a system with accounts and agents
    And store eras have a copy, and a key was taken away after it
    When store eras restore the store after 1 s away
    And store eras have <who>
    Then store eras have no request run with the key for 3 s
    When store eras have all written again
    Then store eras have all entries serve the other key within 3 s
    And store eras have no request run with the key for 1 s

    Examples:
      | who                                                    |
      | the other entry started anew                           |
      | both entries started anew                              |
      | all agents and the other entry started anew            |
      | all agents but one and both entries started anew       |
      | the other entry started anew beside agents that ended  |

  # Guards against an entry that missed the lost seconds, and takes a read of the copy for
  # proof after the restore.
  Scenario: Direct path entry that did not read before the restore accepts no lost key
    Given store eras of a system with accounts and agents
    And store eras have the other entry cut off from the store
    And store eras have a copy, and a key was taken away after it at the first entry
    When store eras restore the store after 1 s away
    And store eras have the other entry cut off from the store no more
    Then store eras have no request run with the key for 4 s, later than the bound

  # Guards against an entry that runs on, missed a configuration and serves a route that it
  # took away, because the store has lost it.
  Scenario: Direct path serves no route by a configuration that was lost by the store while it runs
    Given store eras of a system with agents
    And store eras have two routes at all entries
    And store eras have the other entry cut off from the store
    And store eras have a copy, and a route was taken away after it at the first entry
    When store eras restore the store after 1 s away
    And store eras have the other entry cut off from the store no more
    Then store eras have no request run on the route after 1 s for 2 s
    When store eras have all written again without the route
    Then store eras have all entries serve the first route within 3 s

  # Guards against a route that is served again by an entry that starts.
  Scenario Outline: Direct path entry that starts serves no route that was taken away, <who>
    Given store eras of a system with agents
    And store eras have a copy, and a route was taken away after it
    When store eras restore the store after 1 s away
    And store eras have <who>
    Then store eras have no request run on the route for 3 s
    When store eras have all written again without the route
    Then store eras have all entries serve the first route within 3 s

    Examples:
      | who                                         |
      | the other entry started anew                |
      | all agents and the other entry started anew |

  # Guards against a system that waits for ever for somebody who knows the lost seconds.
  Scenario: Direct path gets ready from the copy if nobody knows better
    Given store eras of a system with accounts and agents
    And store eras have a copy, and a key was taken away after it
    When store eras restore the store after 1 s away
    And store eras have all agents and both entries started anew
    Then store eras have all entries serve the other key within 4 s

  # Guards against a former version of an adapter that an agent loads from the copy.
  Scenario: Direct path agent that starts loads no adapter version that was replaced
    Given store eras of a system with agents
    And store eras have a copy with version 1 of an adapter, and version 2 came after it
    When store eras restore the store after 1 s away
    And store eras have one agent and the other entry started anew, and no other engine
    Then store eras have the agent order version 2 only

  # Guards against requests to a target that has left, because the copy lists it.
  Scenario: Direct path uses no target that has left in the lost seconds, and those that came
    Given store eras of a system without agents
    And store eras have a copy, and a target left and another one came after it
    When store eras restore the store after 1 s away, and the new target writes again
    Then store eras have only the new target serve for 3 s

  # Guards against targets that are dropped because the copy lacks them, by an entry that
  # has read nothing while the store was away.
  Scenario: Direct path keeps for 2 s targets that an entry has not noticed to be missing in a copy
    Given store eras of a system without agents
    And store eras have a copy, and a target left and another one came after it
    When store eras restore the store without a time away
    Then store eras keep the new target for 1 s, and drop it within 4 s

  # Guards against an entry that reads nothing any more because of what the store says.
  Scenario Outline: Direct path goes on beside an era of <era>
    Given store eras of a system without agents
    And store eras have answers with the era <era>
    When store eras have a new route
    Then store eras have the new route at all entries within 2 s
    And store eras are logged as not read once for each topic

    Examples:
      | era                  |
      | none                 |
      | 0                    |
      | -1                   |
      | 1e3                  |
      | 99999                |
      | 12345678901234567890 |
      | II                   |
