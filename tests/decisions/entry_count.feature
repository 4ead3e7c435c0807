Feature: Number of entries

  # Guards against an entry that uses the retry budget of several, because an agent that
  # has just started knows only one of them yet.
  Scenario: Entry count takes the largest number that agents have reported in 5 s
    Then entry count is 8 before the first report
    And entry count after reports of 3, 1, 2 and 0 is 3
    And entry count is 2 when 5 s have passed since the report of 3
    And entry count stays 2 without further reports

  # Guards against the same in the entry's process.
  Scenario: Direct path entries count no fewer entries because an agent has started
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has another entry
    And direct path entries count 2 entries
    When direct path starts the agent of "e1" again
    Then direct path entries count 2 entries for 2 s
