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
