Feature: Planned stops of an entry under load

  # Load pattern: callers keep sending on new and on kept connections while the entries of a
  # fleet are stopped in turn.
  Scenario: Direct path answers every request that reaches it during planned stops
    # Guards against requests that had just been accepted and are cut off by the stop.
    Given direct path with a store, a configuration and two plain targets
    When direct path is stopped 4 times under a load of at least 1250 requests each
    Then direct path cut none of at least 5000 requests

  Scenario: Direct path still answers on connections that are new when it is about to end
    # Guards against connections that are reset because the listener was closed before they
    # were accepted, or closed because their first request had not arrived.
    Given direct path with a store, a configuration and two plain targets
    And direct path keeps new connections for 2.0 s during a stop
    When direct path is asked to stop and gets connections 2.2 s and 2.8 s later
    Then direct path refused the request on each of them as not executed
