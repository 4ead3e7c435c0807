Feature: Configuration tree

  Scenario: Tree decides each record by the revisions at its offset
    # Guards against a lost update: a record is rejected if another one changed the path
    # after its author read it, and a duplicate changes nothing.
    Given tree that is empty
    When tree applies these records
      | id | path            | expected | value           | outcome   |
      | 1  | /teams/a/limits | 0        | {"share": 1.0}  | Applied   |
      | 2  | /teams/a/limits | 0        | {"share": 2.0}  | Conflict  |
      | 3  | /teams/a/limits | 1        | {"share": 3.0}  | Applied   |
      | 3  | /teams/a/limits | 3        | {"share": 3.0}  | Duplicate |
      | 2  | /teams/a/limits | 3        | {"share": 2.0}  | Duplicate |
      | 4  | /teams/a/limits | 1        | {"share": 4.0}  | Conflict  |
      | 5  | /teams/a/limits | 3        | {"share": -1.0} | Invalid   |
      | 6  | /teams/a/limits | any      | {"share": 5.0}  | Applied   |
      | 7  | /teams/a/limits | 8        | null            | Applied   |
      | 8  | /teams/a/limits | 8        | {"share": 6.0}  | Conflict  |
      | 9  | /teams/a/limits | 0        | {"share": 7.0}  | Applied   |
    Then tree holds {"share": 7.0} at /teams/a/limits with revision 11

  Scenario: Tree of an earlier offset does not change when records are applied
    # Guards against a request that sees two configurations, because the tree that it
    # reads changes while the request runs.
    Given tree that is empty
    When tree applies these records
      | id | path               | expected | value                                                | outcome |
      | 1  | /teams/a/adapters/x | 0       | {"base_model": "m", "versions": {"1": {"source": "w"}}} | Applied |
      | 2  | /teams/a/adapters/x | 1       | null                                                 | Applied |
    Then tree of offset 1 still holds adapter x of team a, and the last one has no team

  Scenario: Tree applies all items of a record or none
    # Guards against a partially applied batch.
    Given tree that is empty
    When tree applies a record with a good and a conflicting item
    Then tree is unchanged but for its offset

  Scenario: Tree keeps a decision for the deduplication window only
    # Guards against a duplicate that is applied again because its first record is
    # forgotten, and against decisions that accumulate without bound.
    Given tree that is empty
    Then tree keeps a decision for 20000 records and not longer

  Scenario: Tree of 100,000 adapters fits the memory of a small process
    # Guards against a tree that outgrows a process with 64 MB.
    Then tree of 20,000 adapters takes a fifth of the 20 MB for 100,000
