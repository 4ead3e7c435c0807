Feature: Fault soak

  Scenario Outline: A short soak with random faults violates no guarantee
    # Guards against failures that only occur when faults coincide: bookings that run twice,
    # refusals of executed requests, answers to other requests, missing or repeated events,
    # and more adapter loads than slots.
    When soak runs seed <seed> for <length> s
    Then soak found no violation

    Examples:
      | seed | length |
      | 7    | 3      |
      | 24   | 6      |

  Scenario: Soak runs that keep their logs don't share settings files
    # Guards against parallel runs that overwrite each other's settings: a process started
    # with the settings of another run does not listen where its callers connect.
    Then soak keeps the files of seeds 601 and 606 in separate subfolders
