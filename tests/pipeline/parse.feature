Feature: Requests are validated and resolved before they are admitted

  Scenario Outline: Parse refuses malformed requests
    When parse receives <method> <path> with body <body>
    Then parse refuses with <status> <reason> and reports that it was not executed

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

  Scenario Outline: Parse refuses idempotency keys that are too long or have control characters
    When parse receives an idempotency key of <length> <kind> characters
    Then parse refuses with 400 <reason> and reports that it was not executed

    Examples:
      | length | kind    | reason       |
      | 33     | plain   | key-too-long |
      | 8      | control | bad-key      |

  Scenario: Parse answers or refuses any body without an internal error
    When parse receives arbitrary bodies
    Then parse has answered or refused each of them

  Scenario Outline: Resolve finds the adapter version or service, or names what is missing
    Given resolve has team t with adapter a at version 1 and service s
    When resolve looks up <what>
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

    Examples: services; calls declared non-idempotent and all POST calls are not idempotent
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
    When resolve receives a body with priority -5
    Then resolve passes the body on without a priority
