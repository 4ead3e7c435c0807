Feature: Lists of adapters that an engine reports

  # Guards against a thread that ends: restarts of the engine go unnoticed then.
  Scenario Outline: Engine client reports an error for a list of adapters with <odd>
    When engine client reads a list of adapters with <odd>
    Then engine client reports an error

    Examples:
      | odd                     |
      | an entry without an id  |
      | entries of null         |
      | an entry of null        |
      | data nested 100000 deep |
      | a number out of range   |
      | invalid UTF-8           |
