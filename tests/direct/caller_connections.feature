Feature: Ends of callers' connections

  # Pattern: a defect of the entry's own, met by one request.
  Scenario Outline: Direct path answers 500 when the handling of a request fails
    # Guards against a connection that is closed without an answer or a refusal, because an
    # exception ended the handling.
    Given direct path with a store, a configuration and two plain targets
    And direct path handling fails while <what> is decoded
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 500 "internal-error" with executed "<executed>"
    And direct path answers 500 and closes the connection
    And direct path logged the failure with the request's id

    Examples:
      | what                | executed |
      | the request         | no       |
      | the target's answer | unknown  |

  Scenario Outline: Direct path connection answers 500 when its handler <fails>
    # Guards against a connection that is closed without an answer although the request was
    # read completely.
    Given direct path connections whose handler <fails>
    When direct path caller sends a request and reads to the end
    Then direct path caller got 500 "internal-error" with executed "unknown"

    Examples:
      | fails                   |
      | raises an exception     |
      | returns without answer  |
      | is cancelled            |

  Scenario: Direct path connection aborts an answer that was begun when its handler fails
    # Guards against a refusal in the middle of an answer, and a cut answer that looks complete.
    Given direct path connections whose handler fails within the answer
    When direct path caller sends a request and reads to the end
    Then direct path caller got an incomplete answer
