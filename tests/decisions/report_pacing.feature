Feature: How often an agent reads the report of its engine

  # Load pattern: rare adapters are asked for all the time, so that loads never end.
  Scenario Outline: Report pacing sees the end of a load early, with few reads
    # Guards against agents that spend their processor time on reports, and against
    # requests that wait although their adapter is loaded.
    Given report pacing of an engine that loads an adapter for <load> s
    When report pacing is asked every 0.005 s until it sees the end of the load
    Then report pacing saw it after <late> s at most and took at most <reads> reads

    Examples:
      | load  | late  | reads |
      | 0.025 | 0.025 | 4     |
      | 0.25  | 0.065 | 9     |
      | 2.0   | 0.065 | 38    |

  Scenario: Report pacing reads an idle engine ten times a second
    Given report pacing of an engine that loads an adapter for 0 s
    Then report pacing reads 10 times in 1 s while nothing is awaited
