Feature: Engine states that an agent publishes to the entries

  # Load pattern: many entries subscribe to each agent, over links of 5 Mbit/s.
  Scenario Outline: State publisher sends no more often than changes require
    # Guards against control traffic that takes bandwidth of slow links from callers'
    # answers, and against entries that choose targets by stale states.
    Given state publisher of an engine with "a" loaded and 2 subscribed entries
    When state publisher is called every 0.02 s for 2 s while <change>
    Then state publisher sent each entry <least> to <most> states, <lists> with the list

    Examples:
      | change                        | least | most | lists |
      | nothing changes               | 4     | 5    | 1     |
      | the load changes              | 18    | 21   | 1     |
      | the loaded adapter alternates | 10    | 11   | 1     |

  Scenario: State publisher sends a new entry the list of cached adapters at once
    # Guards against an entry that has just started and has adapters loaded from the weight
    # store although an engine has them cached.
    Given state publisher of an engine with "a" loaded and 2 subscribed entries
    When state publisher is called every 0.02 s for 0.2 s while nothing changes
    And state publisher gets the subscription of a third entry
    Then state publisher sent the third entry 1 state, with the list

  Scenario: State publisher expires subscriptions that are not renewed
    # Guards against states sent to hosts that no longer exist, and against too high a
    # count of entries, by which each of them would retry less than it may.
    Given state publisher of an engine with "a" loaded and 2 subscribed entries
    When state publisher gets a third subscription after 4 s and is called after 6 s
    Then state publisher's last state went to the third entry only and counts 1 entry

  # Load pattern: 68 entries of a large fleet subscribe, each for 59 engines.
  Scenario: State publisher keeps to the interval that each entry asked for
    # Guards against a rate of states that grows with the product of entries and engines.
    Given state publisher of an engine with "a" loaded and 2 subscribed entries
    And state publisher's entries ask for an interval of 0.4 s
    When state publisher is called every 0.02 s for 2 s while the load changes
    Then state publisher sent each entry 5 to 6 states, 1 with the list
