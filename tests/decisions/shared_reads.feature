Feature: Reads of the store that hosts share

  # Load pattern: hundreds of hosts follow the list of targets, which changes now and then.
  Scenario Outline: Shared reads take fewer calls than reads of each entry
    # Guards against calls to the store that grow with the number of entries.
    Given shared reads of <entries> entries and <agents> agents with a bound of <bound> s
    When shared reads run for 120 s with a change every 10 s
    Then shared reads took at most <calls> calls a second
    And shared reads made every change known within the bound

    Examples:
      | entries | agents | bound | calls |
      | 4       | 10     | 2.0   | 8     |
      | 28      | 26     | 3.0   | 12    |
      | 68      | 59     | 4.0   | 20    |
      | 215     | 475    | 4.0   | 60    |

  Scenario Outline: Shared reads fall back to the entry's own reads
    # Guards against targets that get work after the bound because no agent reads, or
    # because agents that read can't reach the entry.
    Given shared reads of 4 entries and 10 agents with a bound of 2.0 s
    And shared reads get no reports because <reason>
    When shared reads run for 120 s with a change every 10 s
    Then shared reads made every change known within the bound

    Examples:
      | reason                         |
      | there are no agents            |
      | all agents stop after 30 s     |

  Scenario: Shared reads forget news that the store does not have
    # Guards against reads without end because of one malformed report.
    Given shared reads of an entry
    When shared reads get news at offset 1000000 and the entry has read up to 7
    Then shared reads have no news for the entry

  Scenario: Shared reads keep news that arrives while the entry reads
    # Guards against news that a read forgets which the store answered before it.
    Given shared reads of an entry
    When shared reads get news at offset 7 during a read that ends at 7
    Then shared reads have news for the entry

  Scenario Outline: Shared reads tell an outage of the store from an agent that was cut off
    # Guards against targets that get work after they were removed, because one agent that
    # lost its way to the store says that the store was away.
    Given shared reads of an entry
    When shared reads have the reads "<reads>" and agent "a" says at 20 s that the store returned
    Then shared reads take that for an outage: <outage>

    Examples:
      | reads                              | outage |
      | a 10, b 11, c 12                   | yes    |
      | a 10, b 18, c 12                   | no     |
      | a 10, b 11, c 19.4                 | no     |
      | a 10, b 11, c 12, b 19.9, c 19.8   | yes    |
      | a 18, b 11                         | yes    |
      | a 10, b 17.4, b 20.1               | yes    |
