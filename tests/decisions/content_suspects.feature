Feature: Refusal of contents of requests that crash targets

  Times are in seconds. A crash names the target start.

  # Guards against a request that passes everywhere once the evidence against it is a minute
  # old, and crashes target after target again.
  Scenario: Content suspects let one request through at longer and longer intervals
    When content suspects get the events "1 crash a, 2 crash b"
    Then content suspects let requests through at times "2 no, 61.9 no, 62.1 yes, 62.2 no, 300 no"
    When content suspects get the events "63 crash c"
    Then content suspects let requests through at times "662 no, 663.1 yes, 663.2 no, 9000 no"

  # Guards against a trial after each lost crash: the entry that made the trial may end.
  Scenario: Content suspects take a trial without a known outcome for failed
    When content suspects get the events "1 crash a, 2 crash b"
    Then content suspects let requests through at times "62.1 yes, 130 no, 662 no, 662.2 yes, 80000 no"

  # Guards against a request that comes once in two minutes and crashes a target each time.
  Scenario: Content suspects refuse a content after three crashes that are far apart
    When content suspects get the events "1 crash a, 121 crash b"
    Then content suspects let requests through at times "122 yes"
    When content suspects get the events "241 crash c"
    Then content suspects let requests through at times "242 no"

  # Guards against sound requests that stay refused because they ran at targets that crashed.
  Scenario: Content suspects clear a content that finishes
    When content suspects get the events "1 crash a, 2 crash b"
    Then content suspects let requests through at times "62.1 yes"
    When content suspects get the events "63 finish, 64 crash c, 65 crash d"
    Then content suspects let requests through at times "66 yes, 66.1 yes"

  # Guards against a deadly request that is let through with a part of its prompt that was
  # refused for the same crashes.
  Scenario: Content suspects count crashes with another explanation from the third on
    When content suspects get the events "1 crash a, 2 crash b"
    Then content suspects let requests through at times "3 yes" if "a b" are explained
    When content suspects get the events "4 crash c"
    Then content suspects let requests through at times "5 no" if "a b c" are explained
