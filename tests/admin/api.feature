Feature: Administration API

  Background:
    Given admin API of a process with an empty configuration

  Scenario Outline: Admin checks conditions, so that no operator overwrites another unseen
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

  Scenario: Admin shows both sides of a conflict
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    When admin token ann sends PUT /config/teams/a/limits with If-Match: "9" and {"share": 2.0}
    Then admin answers 412
    And admin shows current revision 1 with share 1.0 and the sent share 2.0

  Scenario: Admin takes and gives TOML
    When admin token ann sends PUT /config/teams/a/limits with Content-Type: application/toml; If-None-Match: * and share = 3
    And admin token ann sends GET /config/teams/a/limits with Accept: application/toml and nothing
    Then admin answers 200
    And admin answer contains share = 3.0

  Scenario: Admin applies a batch whole or not at all
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    When admin token ann sends POST /config:batch with none and {"changes": [{"path": "/teams/b/limits", "expected_revision": 0, "value": {}}, {"path": "/teams/a/limits", "expected_revision": 9, "delete": true}]}
    Then admin answers 412
    And admin lists /teams/a/limits
    When admin token ann sends POST /config:batch with none and {"changes": [{"path": "/teams/b/limits", "expected_revision": 0, "value": {}}, {"path": "/teams/a/limits", "expected_revision": 1, "delete": true}]}
    Then admin answers 200
    And admin lists /teams/b/limits

  Scenario: Admin dry run checks without changing
    When admin token ann sends PUT /config/teams/a/adapters/x?dry_run=1 with If-None-Match: * and {"base_model": "m", "versions": {"1": {"source": "w"}}}
    Then admin answers 200
    And admin answer contains no target has this base model
    And admin lists nothing
    When admin token ann sends PUT /config/teams/a/limits?dry_run=1 with If-Match: "5" and {}
    Then admin answers 412

  Scenario: Admin rolls back as a new change and keeps the history
    Given admin token ann has set /teams/a/limits to {"share": 1.0}
    And admin token ann has set /teams/a/limits to {"share": 2.0}
    When admin token ann sends POST /config:rollback with none and {"path": "/teams/a/limits", "to_revision": 1, "expected_revision": 2}
    Then admin answers 200
    And admin history of /teams/a/limits has shares 1.0, 2.0, 1.0 at revisions 1, 2, 3
    When admin token ann sends POST /config:rollback with none and {"path": "/teams/a/limits", "to_revision": 9, "expected_revision": 3}
    Then admin answers 404

  Scenario Outline: Admin lets a token do only what its scopes allow
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

  Scenario: Admin audit says who changed what from where and never holds a token
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

  Scenario: Admin keeps records of refusals in bounded memory while the log is down
    Given admin log is down
    When admin receives 1500 requests with a wrong token
    Then admin has 1000 audit records waiting
    When admin log is back and audit is flushed
    Then admin audit has 1001 records, one of which counts 500 dropped

  Scenario: Admin answers truly when the log fails
    Given admin log is down
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: * and {}
    Then admin answers 503 with executed no
    Given admin log is back and loses all answers
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: *; Change-Id: change-0001 and {}
    Then admin answers 504 with executed unknown
    Given admin log is back and loses no answer
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: *; Change-Id: change-0001 and {}
    Then admin answers 200
    When admin token ann sends PUT /config/teams/a/limits with If-None-Match: *; Change-Id: change-0001 and {}
    Then admin answers 200
    And admin history of /teams/a/limits has shares 1.0 at revisions 1

  Scenario: Admin gives the status it is given and a valid description of itself
    When admin token carol sends GET /status with none and nothing
    Then admin answers 200
    And admin answer contains "offset":7
    And admin description is valid and names exactly the routes

  Scenario: Admin answers no hostile input with a fault of its own
    Then admin gives problem documents below 500 for random requests

  Scenario: Admin loses no change of two operators who race 500 changes over two processes
    Given admin API of two processes whose log loses answers
    When admin operators race 500 changes on 5 paths
    Then admin answers match the log, the history and the audit trail in order
