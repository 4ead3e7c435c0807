Feature: Engine stand-in over HTTP

  Background:
    Given standin engine runs

  Scenario Outline: A broken stream is resumed without gap or repeat
    # Guards against a stand-in whose resumed streams hide faults of the client that resumes.
    When standin engine streams 40 tokens from <path>, loses its caller after event <event> and resumes
    Then standin engine has sent the events 1 to 42 once, with the expected text

    Examples:
      | path                 | event |
      | /v1/completions      | 1     |
      | /v1/chat/completions | 17    |
      | /v1/completions      | 40    |
      | /v1/completions      | 41    |

  Scenario: Resuming an unknown stream starts no execution
    # Guards against a second execution of a request after the engine has restarted.
    When standin engine is asked to resume an unknown stream
    Then standin engine gives status 404
    And standin engine has 0 executions

  Scenario: An answer names the model and the incarnation that produced it
    # Guards against a stand-in that hides answers of the wrong model, so that checks of G1
    # can't fail.
    When standin engine is asked for 5 tokens of t/a@1 with "hello"
    Then standin engine gives status 404
    When standin engine loads t/a@1
    And standin engine is asked for 5 tokens of t/a@1 with "hello"
    Then standin engine answers with 5 tokens of t/a@1
    When standin gets the faults {"restart_empty": true, "base_model_fallback": true}
    And standin engine is asked for 50 tokens of t/a@1 with "ends early <tokens:3>"
    Then standin engine answers with 3 tokens of base
    And standin engine has 2 executions

  Scenario: A request with the crash text ends the engine's executions and adapters
    # Guards against a crash that leaves adapters or streams behind, and against fault
    # switches that can't be reached while many streams occupy the server's threads.
    When standin engine loads t/a@1
    And standin engine streams 40 endless answers
    And standin gets the faults {"crash_on": "poison"}
    And standin engine is asked for 1 tokens of base with "poison"
    Then standin engine gives status nothing
    And standin engine has closed the endless answer's connection
    And standin engine lists the adapters nothing
    And standin engine has 41 executions

  Scenario: Open connections become silent while new ones work
    # Guards against a fault that clients can detect by a closed connection.
    When standin engine streams 1 endless answers
    And standin gets the faults {"silent_connections": true}
    Then standin engine sends nothing more on the endless answer and keeps it open
    When standin engine is asked for 5 tokens of base with "hello"
    Then standin engine answers with 5 tokens of base

  Scenario: The answer to an order is lost after its execution
    # Guards against losing answers to orders that were never executed.
    When standin gets the faults {"lose_answers": 1}
    And standin engine loads t/a@1
    Then standin engine gives status nothing
    And standin engine lists the adapters t/a@1

  Scenario: Failed loads free their slots
    # Guards against failed loads that keep their adapter slots reserved.
    When standin gets the faults {"fail_loads": 8}
    And standin engine loads t/1@1 t/2@1 t/3@1 t/4@1 t/5@1 t/6@1 t/7@1 t/8@1 t/9@1
    Then standin engine gives status 200
    And standin engine lists the adapters t/9@1

  Scenario: The fault switches of a stand-in that is down stay reachable
    # Guards against a fault that can't be switched off again.
    When standin gets the faults {"down": true}
    And standin engine is asked for 5 tokens of base with "hello"
    Then standin engine gives status nothing
    When standin gets the faults {"down": false}
    And standin engine is asked for 5 tokens of base with "hello"
    Then standin engine answers with 5 tokens of base

  Scenario: An engine passes on a refusal of the weight store
    # Guards against a rate limit of the store that the agent never learns of.
    Given standin engine runs with a weight store that allows 1 load
    When standin engine loads t/a@1 t/b@1
    Then standin engine gives status 503
    And standin engine lists the adapters t/a@1
