Feature: Pace of engine states

  # Load pattern: a fleet grows while the load of every engine changes all the time.
  Scenario Outline: State pacing bounds the states that an entry receives
    # Guards against entries whose processor time goes to states instead of requests.
    Then state pacing of <engines> engines makes an entry take <least> to <most> states a second

    Examples:
      | engines | least | most |
      | 1       | 9     | 10   |
      | 9       | 80    | 90   |
      | 59      | 150   | 200  |
      | 475     | 150   | 200  |
      | 1900    | 150   | 200  |

  Scenario Outline: State pacing keeps a state in use until several repeats are missing
    # Guards against entries that take engines for unknown after a single lost datagram.
    Then state pacing of <engines> engines uses a state for at least 3 of its repeats

    Examples:
      | engines |
      | 9       |
      | 59      |
      | 1900    |

  Scenario Outline: State pacing sends a change of adapters before a change of the load
    # Guards against adapters that are loaded again because entries hear of them late.
    Then state pacing of <engines> engines sends a change of adapters after at most <seconds> s

    Examples:
      | engines | seconds |
      | 9       | 0       |
      | 59      | 0.2     |
