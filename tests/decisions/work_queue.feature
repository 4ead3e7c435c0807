Feature: The queue of one target

  Scenario Outline: Work queue takes work in order
    Given work queue of 8 places with <first> then <second>
    When work queue is asked for 1 item with adapter a resident
    Then work queue gave <outcome>

    Examples:
      | first              | second             | outcome |
      | a interactive      | a interactive      | first   |
      | a deferrable       | a interactive      | second  |
      | a interactive      | a non-idempotent   | second  |
      | a interactive long | a interactive      | second  |
      | b interactive      | a interactive      | second  |
      | b interactive      | b interactive      | nothing |

  Scenario: Work queue lets old deferrable work pass newer interactive work
    # Guards against starvation of the lower classes.
    Then work queue serves deferrable work before interactive work 19 s younger

  Scenario: Work queue keeps a quarter of the places for short work
    Then work queue with 6 long items running of 8 places takes short work only

  Scenario: Work queue frees a slot for work that waits too long
    Then work queue holds a resident adapter back after 4 s, not earlier

  Scenario: Work queue agrees with a plain version for any events
    # Guards against late, lost, duplicated or unordered items and two suspects at once.
    Then work queue agrees with a plain list for any events
