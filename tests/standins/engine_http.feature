Feature: Engine stand-in over HTTP

  Background:
    Given standin engine runs

  Scenario Outline: A broken stream is resumed without gap or repeat
    # Guards against a stand-in that hides a fault of the resuming side.
    When standin engine streams 40 tokens to <path>, is cut off after event <event> and resumed
    Then standin engine has sent the events 1 to 42 once, with the expected text

    Examples:
      | path                 | event |
      | /v1/completions      | 1     |
      | /v1/chat/completions | 17    |
      | /v1/completions      | 40    |
      | /v1/completions      | 41    |

  Scenario: A stream that is not known is not started again by a resume
    # Guards against a second execution after a restart of the engine.
    When standin engine resumes a stream that it does not know
    Then standin engine gives status 404
    And standin engine has 0 executions

  Scenario: A whole answer names what really ran
    # Guards against a stand-in with which G1 checks can't fail.
    When standin engine is asked for 5 tokens of t/a@1 with "hello"
    Then standin engine gives status 404
    When standin engine loads t/a@1
    And standin engine is asked for 5 tokens of t/a@1 with "hello"
    Then standin engine answers with 5 tokens of t/a@1
    When standin gets the faults {"restart_empty": true, "base_model_fallback": true}
    And standin engine is asked for 50 tokens of t/a@1 with "ends early <tokens:3>"
    Then standin engine answers with 3 tokens of base
    And standin engine has 2 executions

  Scenario: A marked request crashes the engine and all that it runs
    # Guards against a crash that leaves adapters or streams behind, and against
    # fault switches that streams in great number put out of reach.
    When standin engine loads t/a@1
    And standin engine streams 40 endless answers
    And standin gets the faults {"crash_on": "poison"}
    And standin engine is asked for 1 tokens of base with "poison"
    Then standin engine gives status nothing
    And standin engine has closed the endless answer
    And standin engine lists the adapters nothing
    And standin engine has 41 executions

  Scenario: Open connections go silent and new ones work
    # Guards against a fault that clients notice by a closed connection.
    When standin engine streams 1 endless answers
    And standin gets the faults {"silent_connections": true}
    Then standin engine sends nothing more on the endless answer and leaves it open
    When standin engine is asked for 5 tokens of base with "hello"
    Then standin engine answers with 5 tokens of base

  Scenario: The answer to an order is lost after it took effect
    # Guards against a fault that is no fault, because nothing was done.
    When standin gets the faults {"lose_answers": 1}
    And standin engine loads t/a@1
    Then standin engine gives status nothing
    And standin engine lists the adapters t/a@1

  Scenario: Failed loads free their slots
    # Guards against slots that leak with every failed load.
    When standin gets the faults {"fail_loads": 8}
    And standin engine loads t/1@1 t/2@1 t/3@1 t/4@1 t/5@1 t/6@1 t/7@1 t/8@1 t/9@1
    Then standin engine gives status 200
    And standin engine lists the adapters t/9@1

  Scenario: An unreachable stand-in keeps its fault switches reachable
    # Guards against a fault that can't be switched off again.
    When standin gets the faults {"down": true}
    And standin engine is asked for 5 tokens of base with "hello"
    Then standin engine gives status nothing
    When standin gets the faults {"down": false}
    And standin engine is asked for 5 tokens of base with "hello"
    Then standin engine answers with 5 tokens of base

  Scenario: An engine that fetches weights passes the store's refusal on
    # Guards against a rate limit that never reaches the agent.
    Given standin engine runs with a weight store that takes 1 load
    When standin engine loads t/a@1 t/b@1
    Then standin engine gives status 503
    And standin engine lists the adapters t/a@1
