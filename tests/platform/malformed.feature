Feature: Malformed records, pages, reports and datagrams

  # Guards against one malformed message that ends a process, or a task that the process
  # needs: an entry that no longer follows the list of targets looks healthy.
  Scenario Outline: Malformed <kind> raises the decoder's own error only
    Then malformed messages of the kind "<kind>" never raise anything else, in 3000 mutations

    Examples:
      | kind     |
      | target   |
      | state    |
      | notice   |
      | report   |
      | datagram |
      | page     |
      | log      |

  Scenario: Malformed record does not stop a feed
    Given malformed feed of a listener that fails at the record "bad"
    When malformed feed reads "a", "bad" and "b"
    Then malformed feed passed on "a" and "b" and goes on

  Scenario: Malformed page does not stop a feed
    Given malformed feed of a store whose first page raises an unexpected error
    When malformed feed follows the topic
    Then malformed feed reads the topic again
