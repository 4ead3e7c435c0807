Feature: Pages

  Scenario Outline: Pages contain the table that the code declares
    # Guards against a page that lists a removed key or metric, because it was not written
    # again after a change of the code.
    Then pages table of <page> matches the code

    Examples:
      | page             |
      | docs/SETTINGS.md |
      | docs/METRICS.md  |

  Scenario: Pages link only to files that exist
    # Guards against links to a page that was renamed or removed.
    Then pages have no dead link

  Scenario: Pages name only commands that exist, or say that they are not built
    # Guards against an operator who tries a command that is only planned.
    Then pages name no command that the command line refuses

  Scenario: Pages on operation define alarms on declared metrics only
    # Guards against an alarm on a metric that no code sends.
    Then pages on operation name only declared metrics

  Scenario: Pages table of metrics has every metric that the code sends
    # Guards against a MetricError in code that no other test runs, because the name is not
    # declared.
    Then pages table of metrics has every metric that the code sends

  Scenario Outline: Pages come with a valid sample configuration
    # Guards against samples that fall behind a change of the configuration schema.
    Then pages sample <file> is accepted by the configuration schema

    Examples:
      | file                                       |
      | examples/fraser-valley/configuration.toml  |
      | examples/parabolica/configuration.toml     |

  Scenario Outline: Pages sample configuration is the same after a snapshot
    # Guards against values that are lost when the log retains only a snapshot of them.
    Then pages sample <file> is the same after a snapshot

    Examples:
      | file                                       |
      | examples/fraser-valley/configuration.toml  |
      | examples/parabolica/configuration.toml     |
