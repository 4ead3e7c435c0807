Feature: System: malformed and hostile requests
  A refusal is a problem document with "executed": "no", and no part of the request may have
  reached a target.

  Background:
    Given system of 1 entry runs

  # Guards against a request that is forwarded, or crashes an entry, before it is validated.
  Scenario Outline: <case>
    When system receives <method> "<path>" with key "<key>" and body <body>
    Then system refused it with <status> at step "<step>", not executed
    And no target of the system received anything

    Examples:
      | case                 | method | path                        | key  | body                   | status | step    |
      | malformed JSON       | POST   | /v1/completions             |      | {"model":              | 400    | parse   |
      | an array as body     | POST   | /v1/completions             |      | [1, 2]                 | 400    | parse   |
      | no body              | POST   | /v1/completions             |      | nothing                | 400    | parse   |
      | deep nesting         | POST   | /v1/completions             |      | nested                 | 400    | parse   |
      | malformed model name | POST   | /v1/completions             |      | model:drafts           | 400    | resolve |
      | unknown team         | POST   | /v1/completions             |      | model:no/drafts@1      | 404    | resolve |
      | unknown adapter      | POST   | /v1/completions             |      | model:depot/no@1       | 404    | resolve |
      | unknown version      | POST   | /v1/completions             |      | model:depot/drafts@9   | 404    | resolve |
      | oversize body        | POST   | /v1/completions             |      | oversize               | 413    | receive |
      | booking, no key      | POST   | /v1/completions             |      | model:depot/bookings@1 | 400    | claim   |
      | hold, no key         | POST   | /services/depot/shelf/holds |      | {"item": 1}            | 400    | claim   |
      | unknown service      | POST   | /services/depot/no/x        |      | {"item": 1}            | 404    | resolve |
      | over-long key        | POST   | /v1/completions             | long | model:depot/bookings@1 | 400    | parse   |
      | wrong method         | PUT    | /v1/completions             |      | model:depot/drafts@1   | 405    | parse   |
      | unknown path         | POST   | /v2/completions             |      | model:depot/drafts@1   | 404    | parse   |

  # Guards against request threads that faulty callers occupy forever.
  Scenario Outline: a caller that sends <case>
    When system has 70 connections that send <case>
    Then system closes them all, with a problem document or without an answer
    And system answers an ordinary request
    And no target of the system received anything else

    Examples:
      | case                              |
      | half a request line, then nothing |
      | half a body, then nothing         |
      | half a body, then end of file     |
      | a length that is no number        |
      | a negative length                 |
      | a broken chunk                    |
      | an endless chunked body           |
      | a length and chunks               |
      | nothing                           |

  # Guards against refusing a body encoding that ordinary clients use.
  Scenario: a chunked body
    When system receives a chunked body
    Then system answered it completely
