Feature: Administration API

  Background:
    Given admin API of a process with an empty configuration

  # Guards against lost updates: two operators read the same revision, and the later
  # write replaces the earlier one without notice.
  Scenario Outline: Admin requires and checks the conditions of a write
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    When admin token ann sends <method> /config<path> with <headers> and {"share": 2.0}
    Then admin answers <status>

    Examples:
      | method | path            | headers                               | status |
      | PUT    | /teams/a/limits | none                                  | 428    |
      | PUT    | /teams/a/limits | If-Match: "1"                         | 200    |
      | PUT    | /teams/a/limits | If-Match: "2"                         | 412    |
      | PUT    | /teams/a/limits | If-Match: *                           | 200    |
      | PUT    | /teams/a/limits | If-Match: W/"1"                       | 412    |
      | PUT    | /teams/a/limits | If-Match: "7", "1"                    | 200    |
      | PUT    | /teams/a/limits | If-Match: 1                           | 400    |
      | PUT    | /teams/a/limits | If-None-Match: *                      | 412    |
      | PUT    | /teams/b/limits | If-None-Match: *                      | 200    |
      | PUT    | /teams/b/limits | If-Match: *                           | 412    |
      | PUT    | /teams/b/limits | If-Match: "1"                         | 412    |
      | DELETE | /teams/a/limits | none                                  | 428    |
      | DELETE | /teams/a/limits | If-Match: "1"                         | 200    |
      | DELETE | /teams/a/limits | If-Match: "2"                         | 412    |
      | GET    | /teams/a/limits | If-None-Match: "1"                    | 304    |
      | GET    | /teams/a/limits | If-None-Match: "2"                    | 200    |
      | GET    | /teams/b/limits | none                                  | 404    |
      | PUT    | /teams/B/limits | If-None-Match: *                      | 404    |
      | PUT    | /teams/a/limits | Content-Type: text/plain; If-Match: * | 415    |
      | POST   | /teams/a/limits | none                                  | 405    |

  # Guards against a conflict that an operator can't resolve, because the answer does not
  # show what changed.
  Scenario: Admin shows the current and the sent value of a conflict
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    When admin token ann sends PUT /config/teams/a/limits with If-Match: "9" and {"share": 2.0}
    Then admin answers 412
    And admin shows current revision 1 with share 1.0 and the sent share 2.0

  # Guards against an API that refuses TOML, in which the command line sends values.
  Scenario: Admin accepts and returns TOML
    When admin token ann sends PUT /config/teams/a/limits with Content-Type: application/toml; If-None-Match: * and share = 3
    And admin token ann sends GET /config/teams/a/limits with Accept: application/toml and nothing
    Then admin answers 200
    And admin answer contains share = 3.0

  # Guards against a batch of which one item is applied although another has a conflict.
  Scenario: Admin applies a batch completely or not at all
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    When admin token ann sends POST /config:batch with none and {"changes": [{"path": "/teams/b/limits", "expected_revision": 0, "value": {}}, {"path": "/teams/a/limits", "expected_revision": 9, "delete": true}]}
    Then admin answers 412
    And admin lists /teams/a/limits
    When admin token ann sends POST /config:batch with none and {"changes": [{"path": "/teams/b/limits", "expected_revision": 0, "value": {}}, {"path": "/teams/a/limits", "expected_revision": 1, "delete": true}]}
    Then admin answers 200
    And admin lists /teams/b/limits

  # Guards against a dry run that writes, or that accepts what the write would refuse.
  Scenario: Admin dry run checks a change without making it
    When admin token ann sends PUT /config/teams/a/adapters/x?dry_run=1 with If-None-Match: * and {"base_model": "m", "versions": {"1": {"source": "w"}}}
    Then admin answers 200
    And admin answer contains no target has this base model
    And admin lists nothing
    When admin token ann sends PUT /config/teams/a/limits?dry_run=1 with If-Match: "5" and {}
    Then admin answers 412

  # Guards against a rollback that removes the revisions in between, and against one to a
  # revision that the log does not retain.
  Scenario: Admin rolls back as a new change and keeps the history
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    And admin token ann has set /teams/a/limits to {"share": 2.0}
    When admin token ann sends POST /config:rollback with none and {"path": "/teams/a/limits", "to_revision": 1, "expected_revision": 2}
    Then admin answers 200
    And admin history of /teams/a/limits has shares 1.0, 2.0, 1.0 at revisions 1, 2, 3
    When admin token ann sends POST /config:rollback with none and {"path": "/teams/a/limits", "to_revision": 9, "expected_revision": 3}
    Then admin answers 404

  # Guards against a token that acts outside its scopes, for example on a team whose name
  # begins with that of its own, and against refusals without an audit record.
  Scenario Outline: Admin allows a token only what its scopes cover
    When admin token <token> sends <method> /config/teams/<team>/limits with If-None-Match: * and {}
    Then admin answers <status>
    And admin audit has one record of /teams/<team>/limits with outcome <outcome>

    Examples:
      | token   | method | team | status | outcome      |
      | bob     | PUT    | b    | 200    | accepted     |
      | bob     | PUT    | bb   | 403    | unauthorised |
      | bob     | GET    | a    | 403    | unauthorised |
      | carol   | PUT    | a    | 403    | unauthorised |
      | expired | PUT    | a    | 401    | unauthorised |
      | wrong   | PUT    | a    | 401    | unauthorised |

  # Guards against changes or refusals without an audit record, and against a bearer token
  # that is stored with one.
  Scenario: Admin audit records who changed what from where, and no token
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    And admin token ann has set /teams/a/limits to {"share": 2.0}
    When admin token ann sends PUT /config/teams/a/limits with If-Match: "1" and {"share": 3.0}
    And admin token ann sends PUT /config/teams/a/limits with If-Match: "2" and {"share": 0.0}
    And admin token ann sends DELETE /config/teams/a/limits with none and nothing
    Then admin audit of ann from 192.0.2.1 is
      | outcome  | before | after | revision | offset |
      | accepted | -      | 1.0   | 1        | 0      |
      | accepted | 1.0    | 2.0   | 2        | 1      |
      | conflict | 2.0    | 3.0   | -        | 2      |
      | refused  | -      | -     | -        | -      |
      | refused  | -      | -     | -        | -      |
    And admin streams hold no token

  # Guards against memory that grows with unauthorised requests during an outage of the
  # log, and against records that are dropped without a trace.
  Scenario: Admin bounds the waiting records of refusals while the log is down
    Given admin log is down
    When admin receives 1500 requests with a wrong token
    Then admin has 1000 audit records waiting
    When admin log is up and audit is flushed
    Then admin audit has 1001 records, one of which counts 500 dropped

  # Guards against an answer that calls a change failed although it may take effect. This
  # comes about when the log appends a record and its answer is lost.
  Scenario: Admin reports whether a change was executed when the log fails
    Given admin log is down
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: * and {}
    Then admin answers 503 with executed no
    Given admin log is up and loses all answers
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: *; Change-Id: change-0001 and {}
    Then admin answers 504 with executed unknown
    Given admin log is up and loses no answer
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: *; Change-Id: change-0001 and {}
    Then admin answers 200
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: *; Change-Id: change-0001 and {}
    Then admin answers 200
    And admin history of /teams/a/limits has shares 1.0 at revisions 1

  # Guards against an OpenAPI document that is invalid or lacks a route.
  Scenario: Admin returns the status and a valid OpenAPI document
    When admin token carol sends GET /status with none and nothing
    Then admin answers 200
    And admin answer contains "offset":7
    And admin OpenAPI document is valid and lists exactly the routes

  # Guards against malformed input, such as invalid UTF-8 or deep nesting, that raises an
  # unexpected error in a handler.
  Scenario: Admin answers malformed requests without an internal error
    Then admin answers random requests with problem documents and no status above 499

  # Guards against lost or reordered changes when two processes append to a log that drops
  # some records and some answers.
  Scenario: Admin loses no change of two operators who make 500 changes concurrently
    Given admin API of two processes whose log loses answers
    When admin operators make 500 concurrent changes on 5 paths
    Then admin answers match the log, the history and the audit trail in order
