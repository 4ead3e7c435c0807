Feature: Notices of targets

  # Pattern: targets leave, or shed load, at a crest, and say so in their answers before the
  # list of targets does.

  Scenario: Target notices keep work from a target that says that it leaves
    # Guards against requests that are sent to a target until the list says that it leaves.
    When target notices learn that "t1" of start 1 leaves
    Then target notices let no request to "t1" of start 1 through at 1000 s

  Scenario: Target notices of one start don't hold for the next
    # Guards against a target that gets no work after a restart under the same id.
    When target notices learn that "t1" of start 1 leaves
    Then target notices let a request to "t1" of start 2 through at 1000 s

  Scenario: Target notices keep work from a target for as long as it asks
    # Guards against requests to a target that has asked for a pause.
    When target notices learn at 100 s that "t1" wants no work for 4 s
    And target notices learn at 101 s that "t1" wants no work for 1 s
    Then target notices let no request to "t1" of start 1 through at 103.9 s
    And target notices let a request to "t1" of start 1 through at 104 s

  Scenario: Target notices let work return gradually
    # Guards against a second overload: the pause ends at the same moment for all entries.
    When target notices learn at 100 s that "t1" wants no work for 4 s
    Then target notices let 10 requests through in the first second after 104 s
    And target notices let 50 requests through in the first second after 105.5 s

  Scenario: Target notices tell when the first of several targets takes work again
    # Guards against callers that come back before any target takes their requests.
    When target notices learn at 100 s that "t1" wants no work for 4 s
    And target notices learn at 100 s that "t2" wants no work for 9 s
    And target notices learn that "t3" of start 1 leaves
    Then target notices open "t1, t2, t3" in 3 s at 101 s
    And target notices open "t2, t3, t4" in 0 s at 101 s
