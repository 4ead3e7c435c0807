Feature: Answers of targets that are cut off, or that don't continue a stream

  # Guards against an answer that was cut off and reaches the caller as a whole one, with
  # an empty or a short body.
  Scenario Outline: Direct path passes on no answer that ends <where>
    Given direct path with a store, a configuration and two plain targets
    And direct path targets send an answer that ends <where>
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 502 with execution unknown
    And direct path request ran 1 time

    Examples:
      | where                              |
      | in the status line                 |
      | in the status line with a reset    |
      | after the status line              |
      | in a header name                   |
      | in a header name with a reset      |
      | in the value of a header           |
      | after the last header              |
      | after the last header with a reset |
      | before its whole length            |
      | before its whole length with a reset |
      | without a length with a reset      |
      | before its last chunk              |
      | in a chunk                         |
      | before the trailer                 |

  Scenario Outline: Direct path retries a one-shot request after an answer that ends <where>
    Given direct path with a store, a configuration and two plain targets
    And direct path one target sends an answer that ends <where>
    When direct path gets a GET to "/safe/x"
    Then direct path answers 200 with the target's body and signature
    And direct path request ran 2 times

    Examples:
      | where                              |
      | in a header name                   |
      | after the last header              |
      | before its whole length            |
      | without a length with a reset      |
      | before its last chunk              |

  # Guards against a stream that was cut off and looks complete to its caller.
  Scenario Outline: Direct path aborts a stream that ends <where>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path targets send an answer that ends <where>
    When direct path gets a stream from "/stream-once/x" for adapter "a1"
    Then direct path delivered the events 1 to 2 and aborted
    And direct path delivered nothing but events
    And direct path request ran 1 time

    Examples:
      | where                                  |
      | in an event of an unframed stream      |
      | in an event of an unframed stream with a reset |
      | between events of an unframed stream with a reset |
      | between events before the last chunk   |
      | in a chunk of a stream                 |
      | before the whole length of a stream    |
      | in an event of a whole chunked stream  |

  Scenario Outline: Direct path resumes a stream that ends <where>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path one target sends an answer that ends <where>
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path delivered nothing but events
    And direct path resumed after event 2

    Examples:
      | where                                  |
      | in an event of an unframed stream      |
      | between events of an unframed stream with a reset |
      | between events before the last chunk   |
      | before the whole length of a stream    |

  # An answer may come with neither a length nor chunks and end with its connection.
  Scenario: Direct path completes an unframed stream that ends in order between events
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path targets send an answer that ends between events of an unframed stream
    When direct path gets a stream from "/stream-once/x" for adapter "a1"
    Then direct path delivered the events 1 to 2 completely

  # Guards against the text of an error, or its head, in the middle of a stream, and
  # against a stream that ends as if it were complete because another answer did.
  Scenario Outline: Direct path aborts a stream whose next target answers with <answer>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path one target handles the next request as "cut"
    And direct path next target answers the resumed stream with <answer>
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 2 and aborted
    And direct path delivered nothing but events
    And direct path request ran 2 times

    Examples:
      | answer                              |
      | 500 and a proof                     |
      | 500 without a proof                 |
      | 503 and a proof                     |
      | 503 that did not run                |
      | 404 and a proof                     |
      | 429 without a proof                 |
      | 302 and a proof                     |
      | 200 and no proof                    |
      | 200 and JSON with a proof           |
      | 200 and plain text with a proof     |
      | 200 and an empty page with a proof  |
      | 200 and encoded events              |
      | 204 and a proof                     |
      | 206 and events                      |
      | 200 of another request              |
      | a malformed status line             |
      | a head that is cut off              |
      | no answer                           |
      | events from the first on            |
      | an event in part                    |
      | an error without a head             |
      | interim responses only              |

  Scenario Outline: Direct path goes on at a third target after <answer> of the second
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has a third engine and a route with 3 attempts
    And direct path engines have "a1" loaded
    And direct path one target handles the next request as "cut"
    And direct path next target answers the resumed stream with <answer>
    When direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path delivered nothing but events
    And direct path request ran 3 times

    Examples:
      | answer                              |
      | 500 and a proof                     |
      | 200 and JSON with a proof           |
      | 200 and an empty page with a proof  |
      | an event in part                    |
      | a head that is cut off              |
