Feature: Retry budgets, target directory, routes and crash suspects on the direct path

  # Load pattern: callers retry at once and targets refuse; all entries retry together.
  Scenario: Service retry budgets of all entries together stay within the shared limit
    # Guards against entries that multiply the load of an overloaded service.
    Then service retry budgets of 5 entries allow at most 0.2 of 400 requests and 50 in 10 s

  Scenario: Service retry budget is available again after its window
    Given service retry budget that is used up
    Then service retry budget allows a retry after 10 s

  Scenario Outline: Target directory orders records by start and sequence
    # Guards against old, repeated and forged records that make a draining target ready.
    Given target directory with a ready target of start 5 and sequence 5
    When target directory reads <stage> of start <start> and sequence <sequence>
    Then target directory has <count> usable targets

    Examples:
      | stage   | start | sequence | count |
      | leaving | 5     | 6        | 0     |
      | leaving | 5     | 4        | 1     |
      | leaving | 4     | 9        | 1     |

  Scenario: Target directory keeps a target draining within one start
    Given target directory with a ready target of start 5 and sequence 5
    When target directory reads leaving of start 5 and sequence 6
    And target directory reads ready of start 5 and sequence 7
    Then target directory has 0 usable targets
    When target directory reads ready of start 6 and sequence 1
    Then target directory has 1 usable targets

  Scenario: Target directory keeps a target that vanished in an outage for a grace period
    # Guards against an entry that removes all targets because the store was unavailable.
    Given target directory with a ready target of start 5 and sequence 5
    When target directory gets a list without the target after a store outage
    Then target directory has 1 usable targets
    And target directory has 0 usable targets 2 s later

  Scenario: Target directory removes a vanished target at once without an outage
    Given target directory with a ready target of start 5 and sequence 5
    When target directory gets a list without the target
    Then target directory has 0 usable targets

  # Load pattern: all machines restart at once, and the list still has the previous targets
  # at the addresses of the current ones.
  Scenario Outline: Target directory uses the last of two targets at one address
    # Guards against requests for a target that no longer exists, and against state reports
    # of agents that are attributed to it, so that the state of its successor is unknown.
    Given target directory that reads <order> at one address, started at 5 and 8
    Then target directory uses only "new"
    And target directory finds "new" at the host for start 8
    And target directory finds "new" at the host for start 9
    And target directory finds "old" at the host for start 5
    When target directory removes "new"
    Then target directory uses only "old"

    Examples:
      | order   |
      | old,new |
      | new,old |

  Scenario: Route table takes the longest prefix of the host
    Then route table finds these routes
      | host | path       | route |
      | h    | /a/x       | a     |
      | h    | /a/b/x     | ab    |
      | h    | /a/b       | a     |
      | h    | /ab/x      | none  |
      | i    | /a/x       | none  |

  Scenario: Route table divides requests by weight
    Then route table sends 850 to 950 of 1000 requests to the service of weight 90

  # Load pattern: a request that crashes every target that runs it is retried repeatedly.
  Scenario: Crash suspects are refused after the second target
    # Guards against one request that crashes target after target.
    Then crash suspects refuse a request after it crashed 2 targets, also under another id
    And crash suspects refuse the same body also for another adapter
    And crash suspects do not refuse another body, or none for another adapter
    # Guards against one caller's request cleared or refused by that of another.
    And crash suspects do not refuse the same request of another account
    And crash suspects clear a request that finished

  # Load pattern: many callers send equal requests, and targets terminate for other reasons.
  Scenario Outline: Crash suspects exclude requests if an equal one finished recently
    # Guards against the refusal of ordinary requests because an equal request was running
    # each time that a target terminated.
    Given crash suspects of an entry on which a request finished <age> s ago
    When crash suspects record that 2 targets terminated while running equal requests
    Then crash suspects <verb> another equal request

    Examples:
      | age | verb   |
      | 1   | accept |
      | 59  | accept |
      | 61  | refuse |

  # Load pattern: an engine of a large fleet terminates while it runs streams of many
  # entries, each of which announces a suspect.
  Scenario: Crash suspects are announced through few agents
    # Guards against datagrams that grow with the product of entries, agents and entries.
    Then crash suspects of 40 requests go through 3 of 59 agents each and over 20 in total

  # Load pattern: a failure domain has ended, and with it the agents there.
  Scenario: Crash suspects are announced through agents that answer
    # Guards against announcements that reach nobody, because all their relays are down.
    Then crash suspects go through 3 of 4 answering agents, of 59 in all
    And crash suspects go through 2 answering agents and another one, of 59 in all

  Scenario: Known agents outlast the entries of their engines in the list
    # Guards against announcements without relays when a request has ended all engines.
    Then known agents keep a host 59 s after its engine was listed, and not 61 s after
