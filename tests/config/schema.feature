Feature: Configuration paths and values

  Scenario Outline: Schema rejects an invalid value or path
    # Guards against a value that is accepted and makes a process fail when it is used.
    When schema checks <path> with <value>
    Then schema reports a problem of "<field>" with "<reason>"

    Examples:
      | path                | value                                                            | field           | reason                  |
      | /teams/a/limits     | {"share": 0}                                                     | share           | > 0                     |
      | /teams/a/limits     | {"share": "1"}                                                   | share           | Expected `float`        |
      | /teams/a/limits     | {"deadline_s": 1e9}                                              | deadline_s      | <= 3600                 |
      | /teams/a/limits     | {"shares": 1}                                                    | shares          | unknown key             |
      | /teams/a/limits     | 3                                                                |                 | a table is required     |
      | /teams/a/adapters/b | {"versions": {"v1": {"source": "w"}}}                            | base_model      | is required             |
      | /teams/a/adapters/b | {"base_model": "m", "versions": {}}                              | versions        | length >= 1             |
      | /teams/a/adapters/b | {"base_model": "m", "versions": {"v 1": {"source": "w"}}}        | versions        | regex                   |
      | /teams/a/adapters/b | {"base_model": "m", "versions": {"v\n": {"source": "w"}}}        | versions        | regex                   |
      | /teams/a/services/s | {"targets": ["x"], "non_idempotent": [{"method": "POST"}]}       | non_idempotent  | path_prefix             |
      | /targets/x          | {"kind": "engine", "host": "h"}                                  |                 | engine needs base_model |
      | /targets/x          | {"kind": "service", "host": "h", "batch_places": 0}              | batch_places    | >= 1                    |
      | /platform/loads     | {"max_in_flight": 0}                                             | max_in_flight   | >= 1                    |
      | /teams/A/limits     | {}                                                               |                 | not a configuration path |
      | /teams/../limits    | {}                                                               |                 | not a configuration path |

  Scenario: Schema reports all problems of a value together
    # Guards against an operator who has to correct one problem per attempt.
    When schema checks /teams/a/limits with {"share": 0, "max_concurrent": 0, "x": 1}
    Then schema reports 3 problems

  Scenario: Schema accepts the values of the design page
    # Guards against documented values that are rejected.
    Then schema accepts one value of each kind

  Scenario: Schema warns about references to missing base models and targets
    # Guards against a mistyped name that only shows when requests fail.
    Given tree with an adapter of a missing base model and a service on a missing target
    Then tree check warns about "base_model" and "targets" only
