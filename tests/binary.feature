Feature: Binary

  Background:
    Given binary built with hash seed 1

  Scenario: Binary is reproducible
    # Guards against a release that can't be verified against its sources, for example
    # because the iteration order of a set gets into the file.
    Then binary has the same bytes if built with hash seed 2

  Scenario: Binary contains all runtime modules and nothing else
    # Guards against stand-ins on production hosts, and against a missing dependency.
    Then binary contains every module of lentiltally
    And binary contains no file of standins, bench, tests, tools, hypothesis, mypy
    And binary contains the native modules _cffi_backend, msgspec._core, pynng._nng, xxhash._xxhash

  Scenario: Binary runs without home, writable folder or installed libraries
    # Guards against a start that unpacks files or depends on the build host.
    When binary checks the entry sample with an empty environment
    Then binary accepts the entry sample and writes no file

  Scenario: Binary keeps importing from its own build after it is replaced
    # Guards against a rolling upgrade that breaks running processes: they import some
    # modules only after the file has been replaced.
    When binary is replaced by another file after its start
    Then binary still imports lentiltally.wire and loads pynng from memory

  Scenario: Binary names the Python version that it needs
    # Guards against a traceback instead of a clear message under another Python version.
    Then binary start code returns 1 under Python 3.12 and names Python 3.11
