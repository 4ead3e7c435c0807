Feature: Requests get the deadline of their team

  # Guards against an entry setting that is validated but never used: requests of teams
  # without a deadline would then get the default deadline of the configuration.
  Scenario Outline: Resolve applies the entry's default deadline to teams that set none
    Given resolve has team t whose limits are <limits>
    When resolve looks up <what> at an entry with a default deadline of 7 s
    Then resolve sets a deadline of <deadline> s

    Examples:
      | limits              | what          | deadline |
      | not configured      | model t/a@1   | 7        |
      | {"share": 2.0}      | model t/a@1   | 7        |
      | {"deadline_s": 0}   | model t/a@1   | 7        |
      | {"deadline_s": 3.0} | model t/a@1   | 3        |
      | {"share": 2.0}      | service t/s   | 7        |
      | {"deadline_s": 3.0} | service t/s   | 3        |
