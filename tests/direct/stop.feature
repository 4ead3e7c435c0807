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

  # Pattern: at a crest requests still wait for an adapter or for their target when the time
  # of a stop is over.
  Scenario: Direct path refuses requests that were not sent when the time of a stop is over
    # Guards against requests that end with the process, without an answer or a refusal.
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines take 9.0 s to load an adapter
    When direct path gets a stream for adapter "a1" 2.0 s after it was asked to stop
    Then direct path had answered 503 "stopping" with executed "no" when it ended

  Scenario: Direct path answers requests that may have run when the time of a stop is over
    # Guards against requests that end with the process although their outcome is unknown.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "hang"
    When direct path gets a request to "/once/x" 0.1 s before it is asked to stop
    Then direct path had answered 502 "stopping" with executed "unknown" when it ended

  Scenario: Direct path answers on idle connections while other requests hold up a stop
    # Guards against requests that meet the close of an idle connection, and so get neither an
    # answer nor a refusal, although the process has work for seconds to come.
    Given direct path with a store, a configuration and two plain targets
    When direct path is asked to stop during a request of 3.1 s, and a kept connection sends another 2.8 s later
    Then direct path answered the long request and refused the late one as not executed

  Scenario: Direct path answers a request that is read at the moment at which a stop ends
    # Guards against a request whose task is cancelled before its first step, so that nothing
    # answers it and its connection is never closed.
    When direct path reads a request on a kept connection while its drain ends
    Then direct path answered the request that was read last

  # Pattern: a request that may run once is sent slowly, so that it is complete only late in
  # the time of a stop.
  Scenario: Direct path passes on no request that is complete only late in a stop
    # Guards against requests that are taken late and cut without an answer at the end.
    Given direct path with a store, a configuration and two plain targets
    When direct path is asked to stop during a request of 3.1 s, and "/once/x" is complete 2.8 s later
    Then direct path answered the long request and refused the late one as not executed
    And direct path targets ran only the long request and the one before the stop
