Feature: Adapter slots of one target

  Scenario Outline: Slots follow orders, pins and the engine's list of adapters
    Given slots after <history>
    Then slots show <result>

    Examples: pins, eviction and failed loads
      | history                                                    | result                         |
      | load a, load b, pin a, need c                              | order unload b                 |
      | load a, load b, pin a, pin b, need c                       | order none                     |
      | load a, load b, pin a, pin b                               | pin c SlotsBusy                |
      | load a, load b, pin a, unpin a, need c                     | order unload b                 |
      | load a, load b, need c a                                   | order unload b                 |
      | need a, fail                                               | a absent                       |
      | need a, fail, need a                                       | order none                     |
      | need a, fail, list -, need a                               | order load a                   |
      | load a, pin a, retire a, need b                            | order load b                   |
      | load a, pin a, retire a, unpin a, need b                   | order unload a                 |

    # Guards against assuming an outcome when the answer to an order was lost.
    Examples: lost answers
      | history                                                    | result                         |
      | need a, no-answer                                          | a unknown                      |
      | need a, no-answer, need a                                  | order none                     |
      | need a, no-answer, list a                                  | a resident                     |
      | need a, no-answer, list -                                  | a absent                       |
      | load a, load b, need c, no-answer, list a b                | pin a LoadNeeded               |
      | load a, load b, need c, no-answer, list a b, need c        | order unload a                 |

    # Guards against a stale list that restores an unloaded adapter.
    Examples: lists that are older than the last change
      | history                                                    | result                         |
      | load a, load b, request-list, need c, done, stale-list a b | a absent                       |
      | request-list, load a, stale-list -                         | a resident                     |

    # Guards against unloading the adapter of a request that was sent just before a restart
    # was detected.
    Examples: restarts of the engine
      | history                                                    | result                         |
      | load a, pin a, restart, list -                             | a absent                       |
      | load a, pin a, restart, list a b, need c                   | order unload b                 |
      | load a, pin a, restart, list a, unpin a, load b, need c    | order unload a                 |
      | need a, restart, done                                      | a absent                       |

    # Guards against delayed orders of the previous owner before the engine has seen the
    # new token.
    Examples: engines that enforce fencing
      | history                                                    | result                         |
      | enforces-fencing, list a, token 7                          | pin a LoadNeeded               |
      | enforces-fencing, list a, token 7, need b                  | order unload lentiltally-fence |
      | enforces-fencing, list a, token 7, need b, done            | pin a LoadNeeded               |
      | enforces-fencing, list a, token 7, need b, done, list a    | pin a Pinned                   |
      | enforces-fencing, list a, token 7, need b, fenced, need b  | order none                     |

  # Guards against unloading an adapter in use, for any order of events.
  Scenario: Slots agree with a simulated engine over random histories
    Then slots never unload a pinned adapter, pin an absent one or exceed the limit
