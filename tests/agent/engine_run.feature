Feature: An answer comes from the engine run in which its adapter was pinned

  # Guards against an answer of an engine that restarted in between, which may hold
  # another version of the adapter under the same name.
  Scenario Outline: Engine run passes on only answers of the pinned engine run
    Given engine run of a <kind> request that was pinned in <pinned> engine run
    Then engine run <passes on> the answer

    Examples:
      | kind     | pinned   | passes on |
      | whole    | this     | passes on |
      | streamed | this     | passes on |
      | whole    | an older | refuses   |
      | streamed | an older | refuses   |
