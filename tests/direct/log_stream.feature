Feature: Log lines never block the process

  # Guards against a process that stands still because nobody reads its log.
  Scenario: Log stream drops what nobody reads, and counts it
    When log stream gets 20000 lines that nobody reads
    Then log stream took them within 1 s and dropped some

  # Load pattern: each request of a crest writes several lines.
  Scenario: Log rate keeps warnings and bounds the rest
    When log rate of 10 lines a second gets 50 infos and 5 warnings
    Then log rate lets 10 infos, 5 warnings through, 40 dropped
    When log rate gets 50 infos 0.5 s later
    Then log rate lets 5 more infos through
