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

  # Guards against one odd record of another writer that makes the list of the newest
  # records unreadable: a process that starts would never get its configuration.
  Scenario Outline: Malformed item of the newest page with <odd> leaves the others
    When malformed newest page has an item with <odd> between "a" and "z"
    Then malformed newest page gives the values of "a" and "z"
    And malformed newest page gives the record "<key>"
    And malformed newest page goes on after <after>

    Examples:
      | odd                     | key       | after |
      | a value that isn't base64 | m       | "z"   |
      | a value that isn't ASCII | m        | "z"   |
      | no value                | m         | "z"   |
      | a number as value       | m         | "z"   |
      | a lone surrogate as key | m\ufffd   | "z"   |
      | a key not in UTF-8      | m\ufffd   | "z"   |
      | no key                  | nothing   | "z"   |
      | an offset of 25 digits  | nothing   | "z"   |
      | an offset of -1         | nothing   | "z"   |
      | a list instead of it    | nothing   | "z"   |

  Scenario: Malformed newest pages without a key to go on after end the read
    When malformed newest pages have no readable key and say that more follow
    Then malformed newest page raises FeedError
