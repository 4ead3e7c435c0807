Feature: Streams of an engine that is silent for a while, on the product's own interface

  # Guards against a stream that ends because its engine was silent for a while: its
  # connection was closed before another one had gone on with the stream.
  Scenario Outline: Engine attempt keeps a silent connection while a resumed stream gets <answer>
    Given engine attempt's engine falls silent after event 2
    And engine attempt's engine answers a resumed stream with <answer> and then goes on
    When engine attempt runs idempotent work
    Then engine attempt has emitted the events 1 to 4 and the end

    Examples:
      | answer                 |
      | an error 503           |
      | a head that is cut off |
      | no answer              |
      | a head and silence     |
      | events from the first on |

  # Guards against connections that stay open for a stream that another one delivers.
  Scenario: Engine attempt closes a silent connection once the resumed stream goes on
    Given engine attempt's engine falls silent after event 2
    And engine attempt's engine answers a resumed stream with the next events
    When engine attempt runs idempotent work
    Then engine attempt has emitted the events 1 to 4 and the end
    And engine attempt's engine has seen 2 connections, all closed

  # Guards against giving up what nothing can go on with: events without ids, and work
  # that the entry must not send to another target.
  Scenario Outline: Engine attempt waits for <what>
    Given engine attempt's engine falls silent for a while <where>
    When engine attempt runs <kind> work
    Then engine attempt has emitted the whole stream
    And engine attempt's engine has seen 1 connection, all closed

    Examples:
      | what                     | where                         | kind           |
      | a stream without ids     | after an event without an id  | idempotent     |
      | work that is not retried | before the first event        | non-idempotent |

  # Guards against an engine that hangs for good and holds its request beyond the deadline.
  Scenario Outline: Engine attempt gives up a stream that stays silent <where>
    Given engine attempt's engine falls silent for good <where>
    When engine attempt runs <kind> work
    Then engine attempt reports that the request may have run
    And engine attempt has asked <times> whether time is left

    Examples:
      | where                         | kind           | times   |
      | after event 2                 | idempotent     | 3 times |
      | after an event without an id  | idempotent     | 3 times |
      | before the first event        | non-idempotent | 3 times |
      | before the first event        | idempotent     | 0 times |

  # Guards against a stream of a hanging engine that holds a batch place for good, since
  # its deadline or the cancel of its entry is not passed on to the attempt.
  Scenario Outline: Engine target ends a silent stream <when>
    Given engine attempt's engine falls silent for good after event 2
    When engine target runs the stream <when>
    Then engine attempt reports that the request may have run

    Examples:
      | when                             |
      | past its deadline                |
      | that its entry has cancelled     |
