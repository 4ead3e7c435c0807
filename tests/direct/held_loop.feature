Feature: Planned work while a target keeps an entry busy

  # Guards against requests that end without an answer beside a change of the
  # configuration, a reload or a stop, because one target sends an answer without end, in
  # pieces that each take work.
  Scenario Outline: Entry program answers all requests beside <work> while an answer has no end
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path has two plain targets more and an entry program with 8 s to stop
    And direct path engines answer the next 4 requests with "<step>"
    When direct path entry program gets <work> among 40 requests and 4 of these
    Then direct path entry program answered all 40 requests with 200
    And direct path entry program ended by itself

    Examples:
      | work     | step                |
      | a change | endless-chunks      |
      | a reload | endless-small-event |
      | a stop   | endless-small-event |
