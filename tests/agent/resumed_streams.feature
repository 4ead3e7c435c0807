Feature: Streams that an engine continues, on the product's own interface

  # Guards against another answer's text in the middle of a stream, events that are
  # repeated or missing, and a stream that ends as if it were complete.
  Scenario Outline: Engine attempt continues no stream with <answer>
    Given engine attempt whose stream breaks within event 3
    And engine attempt gets <answer> when it resumes
    When engine attempt runs
    Then engine attempt has emitted the events 1 to 2 and no end
    And engine attempt reports that the request may have run

    Examples:
      | answer                       |
      | an error 500                 |
      | an error 404                 |
      | a JSON document              |
      | a JSON document and a mark of the end |
      | a plain text of events       |
      | a head that is cut off       |
      | no answer                    |
      | events from the first on     |
      | events after a gap           |
      | an event without an id       |
      | an id of 5000 digits         |
      | data nested 100000 deep      |

  Scenario: Engine attempt continues a stream with the next events
    Given engine attempt whose stream breaks within event 3
    And engine attempt gets the next events when it resumes
    When engine attempt runs
    Then engine attempt has emitted the events 1 to 4 and the end
