Feature: Work queue of one target

  Scenario Outline: Work queue sorts work by class, length and arrival
    Given work queue of 8 batch slots with <first> then <second>
    When work queue is asked for 1 attempt with adapter a loaded
    Then work queue gave <outcome>

    Examples:
      | first              | second             | outcome |
      | a interactive      | a interactive      | first   |
      | a deferrable       | a interactive      | second  |
      | a interactive      | a non-idempotent   | second  |
      | a interactive long | a interactive      | second  |
      | b interactive      | a interactive      | second  |
      | b interactive      | b interactive      | nothing |

  Scenario: Work queue serves old deferrable work before newer interactive work
    # Guards against starvation of the deferrable class.
    Then work queue serves deferrable work before interactive work 19 s younger

  Scenario: Work queue reserves a quarter of the batch slots for short work
    Then work queue with 6 long attempts running in 8 batch slots takes short work only

  Scenario: Work queue frees an adapter slot for work that waits too long
    # Guards against steady work on the loaded adapters that pins every slot.
    Then work queue holds a loaded adapter back after 4 s, not earlier

  Scenario: Work queue agrees with a reference queue for any events
    # Guards against expired, lost, duplicated or unordered attempts and two concurrent
    # suspects.
    Then work queue agrees with a reference queue for any events
