Feature: Assembly of one answer

  # "ev F C" is a message with C events from index F; the actions of the last event count.
  Scenario Outline: Answers reach the caller whole and in order
    Given answer after <history>
    Then answer acts <actions>

    Examples:
      | history                                | actions                     |
      | 0 head                                 | DeliverHead                 |
      | 0 head, 0 head                         | nothing                     |
      | 0 head, 0 ev 0 2                       | DeliverEvents 0-2           |
      | 0 head, 0 ev 0 2, 0 ev 0 2             | nothing                     |
      | 0 head, 0 ev 0 2, 0 ev 1 3             | DeliverEvents 2-4           |
      | 0 head, 0 ev 0 2, 0 ev 3 1             | RequestResume 2             |
      | 0 head, 0 ev 0 2, 0 ev 3 1, 0.1 ev 4 1 | nothing                     |
      | 0 head, 0 ev 0 2, 0 ev 3 1, 0.6 ev 4 1 | RequestResume 2             |
      | 0 ev 0 2                               | RequestResume 0             |
      | 0 head, 0 ev 0 2, 0 end 2              | Complete                    |
      | 0 head, 0 ev 0 2, 0 end 3              | RequestResume 2             |
      | 0 head, 0 ev 0 2, 0 end 3, 0 ev 2 1    | DeliverEvents 2-3, Complete |
      | 0 head, 0 ev 0 2, 0 end 1              | Failed unknown              |
      | 0 whole                                | DeliverWhole, Complete      |
      | 0 whole, 0 whole                       | nothing                     |
      | 0 head, 0 whole                        | Failed unknown              |
      | 0 other-whole                          | nothing                     |
      | 0 refused                              | Failed no                   |
      | 0 head, 0 refused                      | Failed unknown              |
      | 0 whole, 0 refused                     | nothing                     |
      | 0 head, 0 bad 0 2, 0 bad 0 3           | RequestResume 2             |

    # Guards against connections that go silent, and against a lost end of an answer.
    Examples: silence
      | history                                        | actions                    |
      | 0 head, 2.9 tick                               | nothing                    |
      | 0 head, 3 tick                                 | Reconnect, RequestResume 0 |
      | 0 head, 3 tick, 4 tick                         | nothing                    |
      | 0 head, 2 progress 0, 4 tick                   | RequestResume 0            |
      | 0 head, 1 progress 2                           | nothing                    |
      | 0 head, 1 progress 2, 2 progress 2             | RequestResume 0            |
      | 0 head, 1 progress 2, 1.5 ev 0 2, 2 progress 4 | nothing                    |

  # Guards against any mix of late, repeated, reordered and lost messages.
  Scenario: Answers are whole whatever happens to the messages
    Then answers are delivered whole, in order and once over random channels
