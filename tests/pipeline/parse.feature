Feature: Requests are checked before anything looks at them

  Scenario Outline: Parse refuses what is not a well-formed request
    When parse reads <method> <path> with body <body>
    Then parse refuses with <status> <reason> and says it was not executed

    Examples: methods and paths
      | method | path                 | body | status | reason       |
      | GET    | /v1/completions      | {}   | 405    | method       |
      | POST   | /v1/models           | {}   | 405    | method       |
      | POST   | /v2/completions      | {}   | 404    | no-such-path |
      | TRACE  | /services/t/s/x      | {}   | 405    | method       |

    Examples: bodies
      | method | path                 | body                                     | status | reason         |
      | POST   | /v1/completions      | {"model":                                | 400    | malformed-json |
      | POST   | /v1/completions      | [1]                                      | 400    | malformed-json |
      | POST   | /v1/completions      | {"prompt": "x"}                          | 400    | bad-field      |
      | POST   | /v1/completions      | {"model": 3, "prompt": "x"}              | 400    | bad-field      |
      | POST   | /v1/completions      | {"model": "m"}                           | 400    | bad-field      |
      | POST   | /v1/completions      | {"model": "m", "prompt": "x", "max_tokens": 0}    | 400 | bad-field |
      | POST   | /v1/completions      | {"model": "m", "prompt": "x", "max_tokens": true} | 400 | bad-field |
      | POST   | /v1/completions      | {"model": "m", "prompt": "x", "stream": "yes"}    | 400 | bad-field |
      | POST   | /v1/chat/completions | {"model": "m", "prompt": "x"}            | 400    | bad-field      |

  Scenario Outline: Parse refuses idempotency keys that can't be kept
    When parse reads a key of <length> characters <kind>
    Then parse refuses with 400 <reason> and says it was not executed

    Examples:
      | length | kind    | reason       |
      | 33     | plain   | key-too-long |
      | 8      | control | bad-key      |

  Scenario: Parse accepts any bytes without an internal error
    When parse reads arbitrary bodies
    Then parse has answered or refused each of them

  Scenario Outline: Resolve names what is missing
    Given resolve has team t with adapter a at version 1 and service s
    When resolve looks for <what>
    Then resolve answers <result>

    Examples: models
      | what                 | result               |
      | model t/a@1          | t a 1 idempotent     |
      | model t/a@2          | 404 no-such-version  |
      | model t/b@1          | 404 no-such-adapter  |
      | model u/a@1          | 404 no-such-adapter  |
      | model a@1            | 400 bad-model        |
      | model t/a            | 400 bad-model        |
      | model t/@1           | 400 bad-model        |
      | model t/a@           | 400 bad-model        |
      | model ../a@1         | 404 no-such-adapter  |

    Examples: services; a declared call and an undeclared POST may not be repeated
      | what                           | result                  |
      | service GET /services/t/s/x    | t s  idempotent         |
      | service POST /services/t/s/x   | t s  not-idempotent     |
      | service POST /services/t/s/b/1 | t s  not-idempotent key |
      | service PUT /services/t/s/b    | t s  idempotent         |
      | service GET /services/t/other/ | 404 no-such-service     |
      | service GET /services/t        | 404 no-such-service     |
      | service GET /services//        | 404 no-such-service     |

  Scenario: Resolve does not let a caller set the engine's priority
    Given resolve has team t with adapter a at version 1 and service s
    When resolve reads a body with priority -5
    Then resolve passes the body on without a priority
