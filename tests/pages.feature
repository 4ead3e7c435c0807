Feature: Pages

  Scenario Outline: Pages hold the table that the code declares
    # Guards against operators who look up a key or a metric that is gone.
    Then pages table of <page> is that of the code

    Examples:
      | page             |
      | docs/SETTINGS.md |
      | docs/METRICS.md  |

  Scenario: Pages link only to files that exist
    Then pages have no dead link

  Scenario: Pages name only commands that exist, or say that they are not built
    # Guards against an operator who types a command of a plan at night.
    Then pages name no command that the command line refuses

  Scenario: Pages on operation cover every metric that stands for an alarm
    Then pages on operation name only declared metrics

  Scenario: Pages need no metric that the code does not declare
    # Guards against a MetricError in a path that no other test takes.
    Then pages table of metrics has every metric that the code sends

  Scenario Outline: Pages come with a first configuration that is valid
    # Guards against samples that no longer match the schema.
    Then pages sample <file> is accepted by the configuration schema

    Examples:
      | file                                       |
      | examples/fraser-valley/configuration.toml  |
      | examples/parabolica/configuration.toml     |

  Scenario Outline: Pages first configuration is the same after a snapshot
    # Guards against a configuration that is lost when only its snapshot is retained.
    Then pages sample <file> is the same after a snapshot

    Examples:
      | file                                       |
      | examples/fraser-valley/configuration.toml  |
      | examples/parabolica/configuration.toml     |
