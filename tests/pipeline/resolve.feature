Feature: Requests get the deadline of their team

  # Guards against a setting that is checked and then read by nothing: requests of teams
  # without a deadline would wait as long as the configuration's default.
  Scenario Outline: Resolve takes the entry's deadline for teams that set none
    Given resolve has team t whose limits are <limits>
    When resolve looks for <what> at an entry with a default deadline of 7 s
    Then resolve gives the request <deadline> s

    Examples:
      | limits              | what          | deadline |
      | not configured      | model t/a@1   | 7        |
      | {"share": 2.0}      | model t/a@1   | 7        |
      | {"deadline_s": 0}   | model t/a@1   | 7        |
      | {"deadline_s": 3.0} | model t/a@1   | 3        |
      | {"share": 2.0}      | service t/s   | 7        |
      | {"deadline_s": 3.0} | service t/s   | 3        |
