Feature: Log lines never block the process

  # Guards against a process that blocks because nobody reads its log.
  Scenario: Log stream drops and counts lines that nobody reads
    When log stream gets 20000 lines that nobody reads
    Then log stream accepted them within 1 s and dropped some

  # Load pattern: at peak load, each request writes several lines.
  Scenario: Log rate keeps warnings and limits other lines
    When log rate of 10 lines a second gets 50 infos and 5 warnings
    Then log rate passes 10 infos and 5 warnings and drops 40 lines
    When log rate gets 50 infos 0.5 s later
    Then log rate passes 5 more infos

  # Guards against a text of a faulty writer that ends the thread which writes the log: no
  # later line appears, although the process runs on.
  Scenario Outline: Log stream goes on after a line with <odd>
    When log stream gets a line with <odd> and then another one
    Then log stream has written both lines

    Examples:
      | odd                    |
      | a lone surrogate       |
      | a NUL and a line break |
