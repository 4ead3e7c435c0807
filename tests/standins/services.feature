Feature: Stand-ins for the platform's services

  Scenario Outline: The log limits retained records by count or by age
    # Guards against a log that retains more than its settings allow.
    Given standin log core with max_records <records> and max_age_s <age>
    When standin log core receives appends after waits in seconds of 0 1 1
    Then standin log core retains the offsets <first> to 3

    Examples:
      | records | age | first |
      | 2       | 0   | 1     |
      | 0       | 1.5 | 1     |

  Scenario: The log limits the append rate, and a refused append writes nothing
    # Guards against benches with an append rate that no real log service accepts.
    Given standin log core with 2 appends per s
    When standin log core receives appends after waits in seconds of 0 0 0 0.5 0.5 0.25
    Then standin log core's appends were accepted accepted refused accepted accepted refused
    And standin log core retains the offsets 0 to 4

  Scenario: Changes of the host list become visible after its lag
    # Guards against a list that reports a draining host before the host itself does.
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
    # Guards against a store in which a burst of loads costs no time.
    Given standin weights core with at most 0 starts per s
    When standin weights core starts 16 loads
    Then standin weights core gives loads 8 and 16 the durations 0.25 and 0.5

  Scenario: A service call whose answer is lost has been executed once
    # Guards against a fault switch that hides bookings executed twice.
    Given standin service runs
    When standin gets the faults {"lose_answers": 1, "lose_path": "/book"}
    And standin service is called with GET /other, POST /book/1, POST /book/1
    Then standin service has answered /other, nothing, /book/1 and counts 3 calls

  Scenario Outline: Each stand-in runs as a process
    # Guards against a demo that waits for a ready line that a stand-in never prints.
    Then standin process <kind> prints its URL and ends with 0 on SIGTERM

    Examples:
      | kind    |
      | engine  |
      | service |
      | weights |
      | log     |
      | hosts   |
