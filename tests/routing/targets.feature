Feature: The directory of targets

  # Guards against an entry that refuses everything after a pause: states come only when
  # something changes, so a target that was left out once must come back by itself.
  Scenario: Directory places work again after its host list was too old
    Given directory with two live targets and a host list
    When directory is asked for a place after a pause of 60 s with no reading
    Then directory has a place
    When directory hears that both targets leave
    Then directory has no place
