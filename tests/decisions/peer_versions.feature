Feature: What agents know of the configuration that the store may have lost

  # Guards against a process that serves by the copy before anybody could tell it more.
  Scenario Outline: Peer versions of a process that starts
    Given peer versions of a process that starts, with <agents> agents
    When peer versions get answers of <answers> agents with version <known>, settled in <settled> s
    Then peer versions make version 3 <before> at 0.2 s, and <after> at <late> s

    Examples:
      | agents | answers | known | settled | before   | after    | late |
      | 0      | 0       | 3     | 0       | usable   | usable   | 0.3  |
      | 1      | 1       | 3     | 0       | usable   | usable   | 0.3  |
      | 1      | 1       | 4     | 0       | unusable | unusable | 9.0  |
      | 1      | 1       | 4     | 0       | unusable | usable   | 70.0 |
      | 3      | 1       | 3     | 0       | unusable | unusable | 2.4  |
      | 3      | 1       | 3     | 0       | unusable | usable   | 2.7  |
      | 3      | 2       | 3     | 0       | usable   | usable   | 0.3  |
      | 3      | 3       | 3     | 1.3     | unusable | unusable | 1.3  |
      | 3      | 3       | 3     | 1.3     | unusable | usable   | 1.5  |
      | 475    | 16      | 3     | 0       | usable   | usable   | 0.3  |
      | 475    | 15      | 3     | 0       | unusable | unusable | 2.4  |

  # Guards against an entry in service that refuses everything for each new version that
  # an agent has read before it, or for a record that it can't decode.
  Scenario Outline: Peer versions of a process in service beside a newer version
    Given peer versions of a process in service
    When peer versions hear of version 4 at 1.0 s
    Then peer versions make version 3 <what> after a read that was sent at <sent> s <found>

    Examples:
      | sent | found                       | what     |
      | 0.9  | and found it                | usable   |
      | 1.1  | and found it                | unusable |
      | 1.1  | and could not use the newest | usable  |

  # Guards against a read of the store that counts as proof while an agent knows more.
  Scenario: Peer versions decide whether a read can be proof
    Given peer versions of a process in service
    Then peer versions let a read of version 3 be proof
    When peer versions hear of version 4 at 1.0 s
    Then peer versions let no read of version 3 be proof
    And peer versions let a read of version 4 be proof
    When peer versions begin a check after a restore
    Then peer versions let no read of version 4 be proof

  # Guards against a start that waits for what a store can't have lost.
  Scenario: Peer versions of a store that was never restored
    Given peer versions of a process that starts, with 3 agents
    When peer versions learn that the store was never restored
    Then peer versions make version 3 usable at 0.2 s, and usable at 0.3 s
