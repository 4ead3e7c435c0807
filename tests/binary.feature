Feature: Binary

  Background:
    Given binary built with hash seed 1

  Scenario: Binary is the same file whenever it is built
    # Guards against a release that nobody can check against its sources.
    Then binary has the same bytes if built with hash seed 2

  Scenario: Binary holds what runs and nothing else
    # Guards against stand-ins on production hosts, and against a missing dependency.
    Then binary holds every module of lentiltally
    And binary holds no file of standins, bench, tests, tools, hypothesis, mypy
    And binary holds the native modules _cffi_backend, msgspec._core, pynng._nng, xxhash._xxhash

  Scenario: Binary runs without home, writable folder or installed libraries
    # Guards against a start that unpacks files or relies on the build host.
    When binary checks the entry sample with an empty environment
    Then binary accepts it and leaves no file behind

  Scenario: Binary keeps importing from its own build after it is replaced
    # Guards against a rolling upgrade that breaks the processes still running.
    When binary is replaced by another file after its start
    Then binary still imports lentiltally.wire and takes pynng from memory

  Scenario: Binary says which interpreter it needs
    # Guards against a traceback on a host with another Python.
    Then binary start code ends with 1 under Python 3.12 and names Python 3.11
