Feature: What counts as evidence about requests that crash targets

  # Guards against a request that is cleared by another caller's, and goes on to crash target
  # after target.
  Scenario Outline: Crash evidence is kept by caller, <form>
    Given crash evidence of a system with accounts and 4 plain targets
    And crash evidence targets crash on requests of "north"
    When crash evidence gets sound requests of "<sound>" to "<path>" all the time
    And crash evidence gets 6 requests of "north" to "<path>" <keys>, with crashed targets back
    Then crash evidence has at most 3 crashes
    And crash evidence has "<sound>" served at "<path>", and "north" refused as "crash-suspect"

    Examples:
      | form                            | path     | sound | keys                |
      | another account                 | /safe/x  | south | with one key        |
      | another account, one try        | /once/x  | south | with one key        |
      | another account, several keys   | /safe/x  | south | with different keys |
      | no account on a public route    | /open/x  | none  | with one key        |
      | an account on a public route    | /open/x  | south | with different keys |

  # Guards against a part that crashes engine after engine, because it is not looked at where
  # it stands, or is not known as the same part.
  Scenario Outline: Crash evidence names each shared part of a prompt, <form>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And crash evidence engines crash on the prompt part "<part>"
    When crash evidence gets a sound stream with <others> other parts
    And crash evidence gets 6 streams with "<written>" <where> <others> other parts, with crashed engines back
    Then crash evidence has at most 5 crashes
    And crash evidence refused the last stream for its part
    And crash evidence has a stream with <others> other parts served within 3 s

    Examples:
      | form                  | part          | written       | where  | others |
      | behind eight others   | deadbeef      | deadbeef:60   | behind | 8      |
      | behind many others    | deadbeef      | deadbeef:60   | behind | 90     |
      | before many others    | deadbeef      | deadbeef:60   | before | 90     |
      | with a long id        | a SHA-256     | a SHA-256:60  | behind | 2      |
      | beside a malformed id | deadbeef      | deadbeef:60,? | behind | 2      |
      | without its tokens    | deadbeef      | deadbeef      | behind | 2      |

  # Guards against other entries that never hear of a part because a message has no room.
  Scenario: Crash evidence about many parts reaches the other entries
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And direct path has another entry
    And crash evidence engines crash on the prompt part "deadbeef"
    When crash evidence gets a sound stream with 90 other parts
    And crash evidence gets 6 streams with "deadbeef:60" behind 90 other parts, with crashed engines back
    Then direct path other entry refuses the prompt part "deadbeef" within 0.5 s

  # Guards against refusals that entries are never told of, because there are many.
  Scenario: Crash evidence of many refused parts is told to entries that start
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    When crash evidence has 200 parts refused
    And direct path has another entry
    Then crash evidence has the other entry refuse 200 parts within 6 s

  # Guards against a part that is cleared by answers that its engines don't survive: by their
  # first events, by the end of one that others have begun, by an end just before a crash.
  Scenario Outline: Crash evidence on a part lasts until an engine has survived, <form>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And crash evidence engines crash on the prompt part "deadbeef" after <events> events
    When crash evidence gets a sound stream with 2 other parts
    And crash evidence gets 6 streams with "deadbeef:60" behind 2 other parts, <callers>
    Then crash evidence has at most 5 crashes
    And crash evidence refused the last stream for its part
    And crash evidence has a stream with 2 other parts served within 3 s

    Examples:
      | form                                | events | callers                |
      | no event                            | 0      | callers who wait       |
      | the first event                     | 1      | callers who wait       |
      | the second event                    | 2      | callers who wait       |
      | the last but one event              | 4      | callers who wait       |
      | the last event                      | 5      | callers who wait       |
      | the end                             | 6      | callers who wait       |
      | the first event, resumed by callers | 1      | callers who resume     |
      | the second, resumed by callers      | 2      | callers who resume     |
      | the first event, callers leave      | 1      | callers who leave      |

  # Guards against a part that is cleared by an engine which writes the rest of an answer that
  # others have begun, and survives that.
  Scenario: Crash evidence on a part is not cleared by the rest of an answer
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And crash evidence engines crash on the prompt part "deadbeef" after 4 events
    And crash evidence engines survive the rest of an answer
    When crash evidence gets a sound stream with 2 other parts
    And crash evidence gets 6 streams with "deadbeef:60" behind 2 other parts, callers who wait
    Then crash evidence has at most 5 crashes
    And crash evidence refused the last stream for its part

  # Guards against a refused part that goes on to the next engine with the rest of an answer.
  Scenario: Crash evidence holds for the rest of an answer that has begun
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    And crash evidence engines crash on the prompt part "deadbeef" after 1 events
    When crash evidence has 1 parts refused during the first event of a stream with "deadbeef:60"
    Then crash evidence has at most 1 crashes

  # Guards against a word of an earlier version, for which the first event is proof.
  Scenario: Crash evidence is not cleared by entries of an earlier version
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When crash evidence has 1 parts refused
    And crash evidence gets an earlier entry's message that clears them
    Then crash evidence has 1 parts refused still

  # Guards against sound requests that stay refused because their engines ended just after
  # they were answered.
  Scenario: Crash evidence is none against contents that were answered
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When crash evidence has both engines end 0.05 s after a whole answer, 3 times
    Then crash evidence has the same stream served at once
