Feature: Assembly of one answer

  # Guards against answers of which the caller gets an event twice, out of order or not at
  # all. Messages start with the second at which they arrive. "events F C" is a message
  # with C events from index F, "malformed F C" one with two events instead of C, "whole"
  # an answer in one message. The actions that the last message causes are compared.
  Scenario Outline: Answers reach the caller complete and in order
    Given answer after <history>
    Then answer returns <actions>

    Examples:
      | history                                            | actions                         |
      | 0 head                                             | DeliverHead                     |
      | 0 head, 0 head                                     | nothing                         |
      | 0 head, 0 events 0 2                               | DeliverEvents 0-2               |
      | 0 head, 0 events 0 2, 0 events 0 2                 | nothing                         |
      | 0 head, 0 events 0 2, 0 events 1 3                 | DeliverEvents 2-4               |
      | 0 head, 0 events 0 2, 0 events 3 1                 | RequestResume 2                 |
      | 0 head, 0 events 0 2, 0 events 3 1, 0.1 events 4 1 | nothing                         |
      | 0 head, 0 events 0 2, 0 events 3 1, 0.6 events 4 1 | RequestResume 2                 |
      | 0 events 0 2                                       | RequestResume 0                 |
      | 0 head, 0 events 0 2, 0 end 2                      | Complete                        |
      | 0 head, 0 events 0 2, 0 end 3                      | RequestResume 2                 |
      | 0 head, 0 events 0 2, 0 end 3, 0 events 2 1        | DeliverEvents 2-3, Complete     |
      | 0 head, 0 events 0 2, 0 end 1                      | Failed unknown                  |
      | 0 whole                                            | DeliverCompleteAnswer, Complete |
      | 0 whole, 0 whole                                   | nothing                         |
      | 0 head, 0 whole                                    | Failed unknown                  |
      | 0 other-whole                                      | nothing                         |
      | 0 refused                                          | Failed no                       |
      | 0 head, 0 refused                                  | Failed unknown                  |
      | 0 whole, 0 refused                                 | nothing                         |
      | 0 head, 0 malformed 0 2, 0 malformed 0 3           | RequestResume 2                 |

    # Guards against dead connections, and against answers whose end was lost.
    Examples: timeouts
      | history                                            | actions                    |
      | 0 head, 2.9 tick                                   | nothing                    |
      | 0 head, 3 tick                                     | Reconnect, RequestResume 0 |
      | 0 head, 3 tick, 4 tick                             | nothing                    |
      | 0 head, 2 progress 0, 4 tick                       | RequestResume 0            |
      | 0 head, 1 progress 2                               | nothing                    |
      | 0 head, 1 progress 2, 2 progress 2                 | RequestResume 0            |
      | 0 head, 1 progress 2, 1.5 events 0 2, 2 progress 4 | nothing                    |

  # Guards against combinations of delayed, duplicated, reordered and lost messages.
  Scenario: Answers are complete whatever happens to the messages
    Then answers are delivered completely, in order and once over random channels
