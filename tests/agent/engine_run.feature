Feature: An answer comes from the engine incarnation on which its adapter was pinned

  # Guards against forwarding the answer of an engine that has restarted since the
  # adapter was pinned. It may have another version of the adapter under the same name.
  Scenario Outline: Engine attempt forwards only answers of the expected incarnation
    Given engine attempt of a <kind> request pinned on <pinned> engine incarnation
    Then engine attempt <forwards> the answer

    Examples:
      | kind     | pinned      | forwards |
      | whole    | the current | forwards |
      | streamed | the current | forwards |
      | whole    | an older    | refuses  |
      | streamed | an older    | refuses  |
