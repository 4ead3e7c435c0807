Feature: States that an agent sends to the entries

  # Load pattern: many entries greet each agent, over links of 5 Mbit/s.
  Scenario Outline: State publisher sends as rarely as changes allow
    # Guards against control traffic that takes weak links from the callers' answers, and
    # against entries that choose targets by what was true a while ago.
    Given state publisher of an engine that holds "a", greeted by 2 entries
    When state publisher is asked every 0.02 s for 2 s while <change>
    Then state publisher sent each entry <least> to <most> states, <lists> with the list

    Examples:
      | change                      | least | most | lists |
      | nothing changes             | 4     | 5    | 1     |
      | prompts come and go         | 18    | 21   | 1     |
      | the held adapter alternates | 10    | 11   | 1     |

  Scenario: State publisher tells a new entry at once what loads fast
    # Guards against an entry that starts and loads adapters again which are at hand.
    Given state publisher of an engine that holds "a", greeted by 2 entries
    When state publisher is asked every 0.02 s for 0.2 s while nothing changes
    And state publisher is greeted by a third entry
    Then state publisher sent the third entry 1 state, with the list

  Scenario: State publisher forgets entries that are silent
    # Guards against states to hosts that are gone, and a count of entries that is too
    # high, by which each of them would repeat less than it may.
    Given state publisher of an engine that holds "a", greeted by 2 entries
    When state publisher is greeted by a third entry after 4 s and asked again after 6 s
    Then state publisher's last state went to the third entry only and counts 1 entry
