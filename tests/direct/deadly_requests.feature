Feature: Requests that crash each target that runs them

  Callers send the same path and body again and again, at any entry.

  # Guards against a request that goes on to crash targets after it has crashed three, because
  # an entry was restarted or cut off, agents ended, or the refusals lapsed.
  Scenario Outline: Direct path sends few copies of a request that crashed three targets
    When direct path plays deadly requests beside other trouble with seed <seed>
    Then direct path sent at most 3 late copies of each deadly request

    Examples:
      | seed |
      | 8    |
      | 9    |
      | 12   |
