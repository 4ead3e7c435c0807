Feature: Progress of a target's answer

  # Load pattern: some engines stall but keep their connections busy with single bytes,
  # others are slow and sound.
  Scenario Outline: Answer progress is made by events and by kilobytes, not by bytes
    # Guards against stalled answers that never end, and against slow ones that are cut.
    Given answer progress with 2.0 s to the first event and gaps of 1.0 s
    When answer progress gets <what> every <pause> s for 10 s
    Then answer progress is stalled after <seconds> s

    Examples:
      | what             | pause | seconds |
      | an event         | 0.9   | 10      |
      | no complete event | 0.1  | 2       |
      | 1 byte of a body | 0.1   | 2       |
      | 2000 bytes of a body | 0.9 | 10     |
      | 600 bytes of a body | 0.4 | 10      |

  Scenario: Answer progress never ends an answer that no other target may continue
    Given answer progress without timeouts
    When answer progress gets 1 byte of a body every 0.1 s for 10 s
    Then answer progress is stalled after 10 s

  Scenario: Event stream gives up on an event without end
    # Guards against memory that a faulty engine fills with one event.
    Then event stream is broken by an event of 2 MB and takes 1000 events of 4 kB

  Scenario Outline: Event stream passes on <events> as <parts>
    # Guards against streams that begin with, or go on with, events that say nothing, and
    # against such events of a sound engine that are lost.
    Given event stream that <needs> ids
    When event stream gets the events <events>
    Then event stream has passed on <parts> and holds <rest> back

    Examples:
      | needs        | events   | parts      | rest |
      | needs        | 1 c 2 c  | 1 c2       | c    |
      | needs        | c d 1 2  | cd1 2      | none |
      | needs        | 1 d d    | 1          | dd   |
      | doesn't need | 1 d d c  | 1 d d      | c    |
      | doesn't need | c d b d  | cd bd      | none |

  Scenario Outline: Event stream gives up on events that say nothing
    # Guards against memory and work for events that no caller waits for.
    Given event stream that needs ids
    Then event stream is broken by <events> before it has got <count> of them

    Examples:
      | events                 | count |
      | comments               | 2000  |
      | blank lines            | 2000  |
      | data without ids       | 2000  |
      | 1000 bytes without ids | 300   |
