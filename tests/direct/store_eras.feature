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
