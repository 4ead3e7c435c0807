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
