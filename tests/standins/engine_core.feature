Feature: Engine stand-in: batching, adapter slots, orders and reports
  Tests of the serving layer rely on an engine stand-in that behaves as real engines do.

  Scenario: A free batch slot is filled at once, by priority and then by arrival
    # Guards against filling slots only when a whole batch has ended, which would hide poor
    # queueing in the serving layer.
    Given standin engine core with 2 batch slots
    When standin engine core receives the requests
      | id | tokens | priority |
      | A  | 2      | 0        |
      | B  | 4      | 0        |
      | C  | 1      | 0        |
      | D  | 1      | -1       |
    Then standin engine core runs in successive steps A B, A B, B D, B C, nothing
    And standin engine core's executions ended as A finished, B finished, C finished, D finished

  Scenario: A request that is cancelled in the queue never runs
    # Guards against cancelled requests that the journal shows as executed.
    Given standin engine core with 1 batch slots
    When standin engine core receives the requests
      | id | tokens | priority |
      | A  | 2      | 0        |
      | B  | 2      | 0        |
    And standin engine core cancels B
    Then standin engine core runs in successive steps A, A, nothing
    And standin engine core's executions ended as A finished, B cancelled before its start

  Scenario: Unloading an adapter in use is executed and recorded as a violation
    # Guards against unloads of adapters in use, a violation of G2, that no bench sees, and
    # against violations that the engine reports falsely.
    Given standin engine core with 1 batch slots
    When standin engine core is ordered to load t/a@1 t/b@1
    And standin engine core receives the requests
      | id | tokens | priority | model |
      | A  | 3      | 0        | t/a@1 |
      | B  | 3      | 0        | t/a@1 |
      | C  | 1      | 0        | base  |
    And standin engine core unloads t/b@1
    And standin engine core unloads t/a@1
    Then standin engine core runs in successive steps C, nothing
    And standin engine core's executions ended as A failed, B failed before its start, C finished
    And standin engine core has one violation, unload-in-use of t/a@1 by A B

  Scenario Outline: Orders with a fencing token
    # Guards against an engine that refuses outdated tokens in some sequences of orders only.
    Given standin engine core that <enforces> fencing tokens
    When standin engine core receives orders with the tokens 3 5 4 none 5
    Then standin engine core marks as outdated 4 none and refuses <refused>
    And standin engine core reports 0 queued, 0 running and token 5

    Examples:
      | enforces | refused |
      | enforces | 4 none  |
      | ignores  | nothing |

  Scenario: The load report shows the state of 1 s ago
    # Guards against placement policies that only work with a current report.
    Given standin engine core with 1 batch slots
    When standin engine core receives the requests
      | id | tokens | priority |
      | A  | 1      | 0        |
      | B  | 1      | 0        |
    Then standin engine core reports 0 queued, 0 running and token 0
    When standin clock advances by 1 s
    Then standin engine core reports 1 queued, 1 running and token 0
    And standin engine core runs in successive steps A, B, nothing
    And standin engine core reports 1 queued, 1 running and token 0
    When standin clock advances by 1 s
    Then standin engine core reports 0 queued, 0 running and token 0

  Scenario: Adapter slots are limited and a loaded adapter is not loaded again
    # Guards against more loaded adapters than slots, and against two loads of one adapter.
    Given standin engine core with 1 batch slots
    When standin engine core is ordered to load a b b c d e f g h i
    Then standin engine core answers the orders with 200 200 409 200 200 200 200 200 200 400

  Scenario: Cache events are published late and with gaps
    # Guards against clients that take the events for a complete and current list.
    Given standin engine core with 1 batch slots
    When standin engine core caches 8 prefixes
    Then standin engine core publishes the cache events nothing
    When standin clock advances by 1 s
    Then standin engine core publishes the cache events 1 2 3 4 5 6 8
