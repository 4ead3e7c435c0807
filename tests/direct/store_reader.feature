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
