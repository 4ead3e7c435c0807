Feature: Reads of the store by agents on behalf of entries

  Scenario: Store reader reads the list until it contains the start of its engine
    # Guards against a restarted engine that stays unused until the agent's next turn.
    Given store reader of an agent whose list has 60 engines
    When store reader's engine starts anew and is listed after 3 reads
    Then store reader reports news at the record of that start

  Scenario: Store reader tells news by its record
    # Load pattern: 60 agents read the same list in turn.
    # Guards against entries that read again because an agent is late with old news.
    Given store reader of an agent whose list has 60 engines
    When store reader reads a draining engine at offset 70 and heartbeats up to offset 100
    Then store reader reports news at offset 70 and not beyond

  Scenario: Store reader reports the end of an outage of the store
    # Guards against entries that drop targets whose records vanished during an outage
    # that they did not notice, because they did not read meanwhile.
    Given store reader of an agent whose list has 60 engines
    When store reader can't read for a while and then reads again
    Then store reader reports that an outage has ended

  Scenario Outline: Store reader reports news of <change>
    # Guards against entries that send to a target which has left: they rely on agents,
    # and agents told no news of changes that no record at hand has brought.
    Given store reader of an agent whose list has 60 engines
    When store reader meets <change>
    Then store reader reports news at offset <offset>

    Examples:
      | change                                              | offset |
      | its first list                                      | 59     |
      | a list after deleted records that lacks an engine   | 70     |
      | a list whose engine vanishes between two pages      | 81     |
      | an engine that vanishes after an outage             | 60     |
      | an engine that is still missing after that          | 60     |
      | an engine at another address                        | 60     |
      | an engine that is listed again                      | 61     |
      | an engine with an unreadable record                 | 60     |

  Scenario Outline: Store reader reports no read <when>
    # Guards against entries that rely on a read which is older than it seems, or which
    # has not reached the end of the list.
    Given store reader of an agent whose list has 60 engines
    When store reader reports <when>
    Then store reader reports no read of this moment

    Examples:
      | when                                       |
      | after its host was suspended               |
      | while further records are still to be read |
      | after a list that a record has overtaken   |

  Scenario: Store reader reports reads again after a suspension
    # Guards against an agent that never tells entries anything again.
    Given store reader of an agent whose list has 60 engines
    When store reader reports after its host was suspended and it has read again
    Then store reader reports news at offset 59

  Scenario: Direct path stops using a target whose removal the store has deleted
    # Guards against the same from end to end, in a quiet hour.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    When direct path target "e1" leaves the list and the store deletes its old records
    Then direct path entry does not use target "e1" within 4 s

  Scenario: Feed gives up a long poll whose answer is lost
    # Load pattern: the store loses answers while the configuration changes.
    # Guards against a configuration that is applied after its bound.
    Given feed with a long poll that is never answered
    When feed hears from an agent of a record that it has not read
    Then feed reads the record without a wait

  Scenario: Feed gives up a long poll when no agent has read lately
    # Guards against an entry that relies on agents that can't read or can't reach it.
    Given feed with a long poll that is never answered
    When feed hears nothing from agents any more
    Then feed reads without a wait within the bound

  Scenario: Feed that is far behind reads the newest record of each key
    # Load pattern: a large fleet, whose list gets dozens of heartbeats a second.
    Given feed of 60 keys that has read up to offset 60
    When feed hears of news at offset 4000
    Then feed reads the newest records

  Scenario: Store topic refuses a late copy of the answer to an earlier read
    # Guards against old records that count as new ones: a server sent an answer once
    # more on a connection that was in use again.
    Then store topic fails to read from offset 40 if it gets the records 10 to 12
