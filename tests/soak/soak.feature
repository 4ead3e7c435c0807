Feature: The fault soak

  Scenario Outline: Soak keeps all promises under a short series of faults
    # Guards against broken promises that only show when faults come together: bookings
    # that run twice, untrue refusals, crossed answers, wrong events, too many loads.
    When soak runs seed <seed> for <length> s
    Then soak found no broken promise

    Examples:
      | seed | length |
      | 7    | 3      |
      | 24   | 6      |

  Scenario: Soak runs that keep their logs don't share settings
    # Guards against processes that start with the settings of another run beside them,
    # whose callers then find nothing at their address.
    Then soak keeps the files of seeds 601 and 606 in two folders of one place
