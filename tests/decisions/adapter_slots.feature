Feature: Adapter slots of one target

  Scenario Outline: Slots follow orders, pins and the engine's list
    Given slots after <history>
    Then slots show <result>

    Examples: pins, eviction and failed loads
      | history                                             | result            |
      | load a, load b, pin a, want c                       | order unload b    |
      | load a, load b, pin a, pin b, want c                | order none        |
      | load a, load b, pin a, pin b                        | pin c SlotsBusy   |
      | load a, load b, pin a, unpin a, want c              | order unload b    |
      | load a, load b, want c a                            | order unload b    |
      | want a, fail                                        | a absent          |
      | want a, fail, want a                                | order none        |
      | want a, fail, list -, want a                        | order load a      |
      | load a, pin a, retire a, want b                     | order load b      |
      | load a, pin a, retire a, unpin a, want b            | order unload a    |

    # Guards against guessing after a lost answer.
    Examples: lost answers
      | history                                             | result            |
      | want a, lose                                        | a unknown         |
      | want a, lose, want a                                | order none        |
      | want a, lose, list a                                | a resident        |
      | want a, lose, list -                                | a absent          |
      | load a, load b, want c, lose, list a b              | pin a LoadNeeded  |
      | load a, load b, want c, lose, list a b, want c      | order unload a    |

    # Guards against an unloaded adapter that an old list brings back.
    Examples: lists that are older than the last change
      | history                                             | result            |
      | load a, load b, mark, want c, done, old-list a b    | a absent          |
      | mark, load a, old-list -                            | a resident        |

    # Guards against unloading an adapter for a request sent around a restart.
    Examples: restarts of the engine
      | history                                             | result            |
      | load a, pin a, restart, list -                      | a absent          |
      | load a, pin a, restart, list a b, want c            | order unload b    |
      | load a, pin a, restart, list a, unpin a, load b, want c | order unload a |
      | want a, restart, done                               | a absent          |

    # Guards against delayed orders of the owner before, until the engine has seen the
    # new token.
    Examples: engines that enforce fencing
      | history                                             | result            |
      | fenced, list a, token 7                             | pin a LoadNeeded  |
      | fenced, list a, token 7, want b                     | order unload lentiltally-fence |
      | fenced, list a, token 7, want b, done               | pin a LoadNeeded  |
      | fenced, list a, token 7, want b, done, list a       | pin a Pinned      |
      | fenced, list a, token 7, want b, stale, want b      | order none        |

  # Guards against an adapter unloaded in use, whatever the order of events.
  Scenario: Slots agree with a plain engine over random histories
    Then slots never unload a pinned adapter, pin an absent one or exceed the limit
