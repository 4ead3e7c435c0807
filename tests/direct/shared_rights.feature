Feature: Rights that agents hold for all entries

  Entries and agents derive the holders of a right from the list of targets. Each process
  reads it at times of its own, and one that has started knows nothing of earlier lists.

  # Guards against two agents that both grant a target's whole limit, because entries of
  # different age name different owners.
  Scenario: Shared rights of a limit stay within its bound when an engine is lost and an entry added
    Given shared rights of 5 engines and a plain target
    And shared rights lose the engine beside the first holder of the target's limit
    And direct path has another entry
    And direct path targets name a limit of 10.0 requests a second
    When direct path gets requests to "/safe/x" for 7 s at both entries, 60 a second
    Then shared rights let the target get 20 to 65 requests in any 4 s

  # Guards against four agents that grant a third of an allotment each.
  Scenario: Shared rights of an allotment stay within its bound when an engine is lost and an entry added
    Given shared rights of 5 engines and a plain target, with an account of 60 requests a second
    And shared rights lose the engine beside the first holder of the account's allotment
    And direct path has another entry
    When shared rights get requests of the account for 8 s at both entries, 160 a second
    Then shared rights let the account run 150 to 286 requests in any 4 s

  # Guards against a second agent that gives the whole limit while some entries can't
  # reach the first one for moments.
  Scenario: Shared rights of a limit stay within its bound when its holder stands still for moments
    Given shared rights of 5 engines and a plain target
    And direct path has another entry
    And direct path targets name a limit of 20.0 requests a second
    And shared rights have the limit's first holder stand still for 0.15 s, 5 times
    When direct path gets requests to "/safe/x" for 8 s at both entries, 60 a second
    Then shared rights let the target get 40 to 125 requests in any 4 s

  # Guards against a former holder that grants to an entry which knows no newer list than
  # the one that names it. It fails if the agent's process doesn't note its own list.
  Scenario: Shared rights of an allotment stay within its bound when an entry no longer reads the list
    Given shared rights of 5 engines and a plain target, with an account of 60 requests a second
    And direct path has another entry
    And shared rights have the first entry read the list no more
    And shared rights lose the engine beside the first holder of the account's allotment
    When shared rights get requests of the account for 8 s at both entries, 160 a second
    Then shared rights let the account run 150 to 286 requests in any 4 s

  # Guards against agents that grant after a start without the agreement of the others,
  # because their questions or the answers reach nobody.
  Scenario: Shared rights of an allotment are agreed on after all processes have started
    Given shared rights of 5 engines and a plain target, with an account of 60 requests a second and slow lists
    When shared rights get a request of the account
    Then shared rights answer 200, and the holders have the agreement of all

  # Guards against the same while the former holder does not read the list either: only the
  # new holder can tell it.
  Scenario: Shared rights of an allotment stay within its bound when neither an entry nor the former holder reads the list
    Given shared rights of 5 engines and a plain target, with an account of 60 requests a second
    And direct path has another entry
    And shared rights have the first entry read the list no more
    And shared rights have the first holder of the account's allotment read the list no more
    And shared rights lose the engine beside the first holder of the account's allotment
    When shared rights get requests of the account for 8 s at both entries, 160 a second
    Then shared rights let the account run 150 to 286 requests in any 4 s
