Feature: Configurations that a restored store has lost

  The store comes back from a copy without what it had acknowledged last, and what
  processes know that ran on counts more than what others read.

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

  # Guards against an entry that was cut off from everything, and takes its first read of the
  # copy for proof before any agent could tell it more.
  Scenario: Direct path entry that was cut off accepts no lost key before agents have told it
    Given store eras of a system with accounts and agents
    And store eras have the other entry cut off from the store
    And store eras have agents out of reach of the other entry
    And store eras have a copy, and a key was taken away after it at the first entry
    When store eras restore the store after 1 s away
    And store eras have all in touch with the other entry again
    Then store eras have no request run with the key for 3 s, later than the bound

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
