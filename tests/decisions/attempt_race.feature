Feature: Attempts of one request that are under way at the same time

  # Pattern: a target falls silent at a crest, and those that could take over reject the request.

  Scenario: Attempt race needs another attempt only when all have stalled
    # Guards against a third attempt while the second one is still expected to answer.
    Given attempt race with attempt 1
    Then attempt race needs no other attempt
    When attempt race gets "1 stalled"
    Then attempt race needs another attempt
    When attempt race gets "2 begun"
    Then attempt race needs no other attempt
    When attempt race gets "2 stalled"
    Then attempt race needs another attempt

  Scenario: Attempt race keeps a stalled attempt when the one beside it ends
    # Guards against a sound target that is given up although no other one has answered.
    Given attempt race with attempt 1
    When attempt race gets "1 stalled, 2 begun, 2 ended"
    Then attempt race needs another attempt
    When attempt race gets "1 continued"
    Then attempt race superseded nothing

  Scenario Outline: Attempt race supersedes all attempts but the one that continues the answer
    # Guards against two targets that go on with one request, and against both being given up.
    Given attempt race with attempt 1
    When attempt race gets "<events>"
    Then attempt race superseded <attempts>
    And attempt race needs no other attempt

    Examples:
      | events                                             | attempts |
      | 1 stalled, 2 begun, 1 continued                    | 2        |
      | 1 stalled, 2 begun, 2 continued                    | 1        |
      | 1 stalled, 2 begun, 2 stalled, 3 begun, 1 continued | 2 and 3 |
      | 1 stalled, 2 begun, 2 stalled, 3 begun, 3 continued | 1 and 2 |

  Scenario: Attempt race ignores a superseded attempt that stalls
    # Guards against a search for another target on behalf of one that was given up.
    Given attempt race with attempt 1
    When attempt race gets "1 stalled, 2 begun, 2 continued, 1 stalled"
    Then attempt race needs no other attempt

  Scenario: Attempt race needs no other attempt without an attempt
    Given attempt race with attempt 1
    When attempt race gets "1 stalled, 1 ended"
    Then attempt race needs no other attempt
