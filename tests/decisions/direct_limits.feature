Feature: Budgets, targets, routes and suspects on the direct path

  # Load pattern: callers repeat at once and targets refuse; all entries resend together.
  Scenario: Resend budgets of all entries together stay within the shared bound
    # Guards against entries that multiply the load of a service in trouble.
    Then resend budgets of 5 entries spend at most 0.2 of 400 requests and 50 in 10 s

  Scenario: Resend budget comes back after its window
    Given resend budget that is spent
    Then resend budget allows a resend after 10 s

  Scenario Outline: Target directory orders records by start and sequence
    # Guards against old, repeated and forged records that revive a leaving target.
    Given target directory with a ready target of start 5 and sequence 5
    When target directory reads <stage> of start <start> and sequence <sequence>
    Then target directory has <count> usable targets

    Examples:
      | stage   | start | sequence | count |
      | leaving | 5     | 6        | 0     |
      | leaving | 5     | 4        | 1     |
      | leaving | 4     | 9        | 1     |

  Scenario: Target directory keeps a target leaving within one start
    Given target directory with a ready target of start 5 and sequence 5
    When target directory reads leaving of start 5 and sequence 6
    And target directory reads ready of start 5 and sequence 7
    Then target directory has 0 usable targets
    When target directory reads ready of start 6 and sequence 1
    Then target directory has 1 usable targets

  Scenario: Target directory gives entries that vanished in an outage time to return
    # Guards against all targets that are dropped because the store was away.
    Given target directory with a ready target of start 5 and sequence 5
    When target directory sees the store return and the entry missing
    Then target directory has 1 usable targets
    And target directory has 0 usable targets 2 s later

  Scenario: Target directory drops a vanished target at once without an outage
    Given target directory with a ready target of start 5 and sequence 5
    When target directory sees the entry missing
    Then target directory has 0 usable targets

  # Load pattern: all machines come back at once, and the list still holds the targets
  # that were there before, at the addresses of those that are there now.
  Scenario Outline: Target directory uses the last of two targets at one address
    # Guards against requests for a target that is gone, and against agents' states that
    # go to it, so that its successor counts as unknown.
    Given target directory that reads <order> at one address, started at 5 and 8
    Then target directory uses only "new"
    And target directory finds "new" at the host for start 8
    And target directory finds "new" at the host for start 9
    And target directory finds "old" at the host for start 5
    When target directory loses "new"
    Then target directory uses only "old"

    Examples:
      | order   |
      | old,new |
      | new,old |

  Scenario: Route table takes the longest prefix of the host
    Then route table matches these
      | host | path       | route |
      | h    | /a/x       | a     |
      | h    | /a/b/x     | ab    |
      | h    | /a/b       | a     |
      | h    | /ab/x      | none  |
      | i    | /a/x       | none  |

  Scenario: Route table divides requests by weight
    Then route table sends 850 to 950 of 1000 requests to the service of weight 90

  # Load pattern: one request that ends every target that runs it comes again and again.
  Scenario: Crash suspects are refused after the second target
    # Guards against one request that takes down target after target.
    Then crash suspects refuse a request after it ended 2 targets, also under another id
    And crash suspects do not refuse another body or the same for another adapter
    And crash suspects forget a request that ran to its end

  # Load pattern: many callers ask the same thing, and targets end for another reason.
  Scenario Outline: Crash suspects leave out what others ran to its end lately
    # Guards against ordinary work that is refused because its equals ran at each end.
    Given crash suspects of an entry that answered a request <age> s ago
    When crash suspects hear that 2 targets ended while they ran its equals
    Then crash suspects <verb> its equals

    Examples:
      | age | verb    |
      | 1   | leave   |
      | 59  | leave   |
      | 61  | refuse  |
