Feature: Eligibility of targets in the target directory

  # Guards against an entry that refuses every request after its process was paused: the
  # stale host list removes all targets from placement, and agents report a state only
  # when it changes, so the directory must restore the targets without a new report.
  Scenario: Directory restores its targets after its host list was stale
    Given directory with two live targets and a host list
    When directory has contact with its agents 60 s after reading its host list
    Then directory finds a target
    When directory receives reports that both targets are draining
    Then directory finds no target
