Feature: Engine stand-in, decisions
  Tests of the serving layer are only as good as the engine that they run against.

  Scenario: A free place is filled at once, by priority and then by arrival
    # Guards against batching in rounds, which would hide bad queueing above it.
    Given standin engine core with 2 places
    When standin engine core gets the work
      | id | tokens | priority |
      | A  | 2      | 0        |
      | B  | 4      | 0        |
      | C  | 1      | 0        |
      | D  | 1      | -1       |
    Then standin engine core runs in its steps A B, A B, B D, B C, nothing
    And standin engine core ended A finished, B finished, C finished, D finished

  Scenario: Cancelled work that waits never runs
    # Guards against a cancel that the journal would show as an execution.
    Given standin engine core with 1 places
    When standin engine core gets the work
      | id | tokens | priority |
      | A  | 2      | 0        |
      | B  | 2      | 0        |
    And standin engine core cancels B
    Then standin engine core runs in its steps A, A, nothing
    And standin engine core ended A finished, B cancelled before its start

  Scenario: Unloading an adapter in use is carried out and recorded
    # Guards against a G2 violation that no bench sees, and against false ones.
    Given standin engine core with 1 places
    When standin engine core is asked to load t/a@1 t/b@1
    And standin engine core gets the work
      | id | tokens | priority | model |
      | A  | 3      | 0        | t/a@1 |
      | B  | 3      | 0        | t/a@1 |
      | C  | 1      | 0        | base  |
    And standin engine core unloads t/b@1
    And standin engine core unloads t/a@1
    Then standin engine core runs in its steps C, nothing
    And standin engine core ended A failed, B failed before its start, C finished
    And standin engine core has one violation, unload-in-use of t/a@1 by A B

  Scenario Outline: Orders with a fencing token
    # Guards against an engine that enforces tokens only by accident of order.
    Given standin engine core that <enforces> fencing tokens
    When standin engine core gets orders with the tokens 3 5 4 none 5
    Then standin engine core marks as outdated 4 none and refuses <refused>
    And standin engine core reports 0 queued, 0 running and token 5

    Examples:
      | enforces | refused |
      | enforces | 4 none  |
      | ignores  | nothing |

  Scenario: The load report lags
    # Guards against policies that only work with a current report.
    Given standin engine core with 1 places
    When standin engine core gets the work
      | id | tokens | priority |
      | A  | 1      | 0        |
      | B  | 1      | 0        |
    Then standin engine core reports 0 queued, 0 running and token 0
    When standin clock advances by 1 s
    Then standin engine core reports 1 queued, 1 running and token 0
    And standin engine core runs in its steps A, B, nothing
    And standin engine core reports 1 queued, 1 running and token 0
    When standin clock advances by 1 s
    Then standin engine core reports 0 queued, 0 running and token 0

  Scenario: Slots are limited and a load is not repeated
    # Guards against adapters beyond the slots and against two loads of one.
    Given standin engine core with 1 places
    When standin engine core is asked to load a b b c d e f g h i
    Then standin engine core answers 200 200 409 200 200 200 200 200 200 400

  Scenario: Cache events come late and with gaps
    # Guards against clients that take the events for a complete current list.
    Given standin engine core with 1 places
    When standin engine core caches 8 prefixes
    Then standin engine core publishes the cache events nothing
    When standin clock advances by 1 s
    Then standin engine core publishes the cache events 1 2 3 4 5 6 8
