Feature: Stand-ins for the platform's services

  Scenario Outline: The log retains by count or by age
    # Guards against a log that keeps more than its settings say.
    Given standin log core with max_records <records> and max_age_s <age>
    When standin log core gets appends after the seconds 0 1 1
    Then standin log core retains the offsets <first> to 3

    Examples:
      | records | age | first |
      | 2       | 0   | 1     |
      | 0       | 1.5 | 1     |

  Scenario: The log limits the rate of appends, and a refusal writes nothing
    # Guards against benches whose append rate no real log would take.
    Given standin log core with 2 appends per s
    When standin log core gets appends after the seconds 0 0 0 0.5 0.5 0.25
    Then standin log core's appends were taken taken refused taken taken refused
    And standin log core retains the offsets 0 to 4

  Scenario: The host list lags
    # Guards against a list whose notice comes before the host's own.
    Given standin hosts core with a lag of 2 s and the hosts a b
    When standin hosts core is set to a
    And standin clock advances by 1 s
    And standin hosts core is set to c
    Then standin hosts core shows a b
    When standin clock advances by 1 s
    Then standin hosts core shows a
    When standin clock advances by 1 s
    Then standin hosts core shows c

  Scenario: Loads beyond 8 in flight take proportionally longer
    # Guards against a store that doesn't punish a burst of loads.
    Given standin weights core with at most 0 starts per s
    When standin weights core starts 16 loads
    Then standin weights core lets loads 8 and 16 take 0.25 and 0.5

  Scenario: A service call whose answer is lost has taken effect once
    # Guards against a fault that hides a repeated booking.
    Given standin service runs
    When standin gets the faults {"lose_answers": 1, "lose_path": "/book"}
    And standin service is called with GET /other, POST /book/1, POST /book/1
    Then standin service has answered /other, nothing, /book/1 and counts 3 calls

  Scenario Outline: Each stand-in runs as a process
    # Guards against a demo that waits for a line that never comes.
    Then standin process <kind> prints its URL and ends with 0 on SIGTERM

    Examples:
      | kind    |
      | engine  |
      | service |
      | weights |
      | log     |
      | hosts   |
