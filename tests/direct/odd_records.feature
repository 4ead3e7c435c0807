Feature: Odd records of another writer on the direct path

  # Guards against one odd record in the list of targets that ends every request of its
  # service, or the reading of the list. It names no target; all others stay in use.
  Scenario Outline: Direct path uses the other targets beside a record with <odd>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When direct path list of targets gets a record with <odd>
    And direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path logged the record once
    And direct path entry and agents still follow the list of targets

    Examples:
      | odd                       |
      | 400 digits of slots       |
      | a start before 1970       |
      | a start of 400 digits     |
      | a start in the year 30000 |
      | a sequence of 25 digits   |
      | an id with a line break   |
      | an id that is not ASCII   |
      | an octet of 80 digits     |
      | an octet that is no digit |
      | an octal address          |
      | port 0                    |
      | port 65536                |
      | port -1                   |
      | port 99999999999          |
      | port of 5000 digits       |
      | no port                   |
      | an IPv6 address           |
      | 100000 nested arrays      |
      | 100000 nested objects     |
      | slots NaN                 |
      | slots 1e400               |
      | slots -1                  |
      | slots 1.5                 |
      | invalid UTF-8             |
      | a lone surrogate          |

  # Guards against an agent that ends, or no longer reads its engine's reports, because of
  # one number that it can't convert or send to the entries.
  Scenario Outline: Direct path agents go on after reports with <odd>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When direct path engines send some reports with <odd>
    And direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely

    Examples:
      | odd                                 |
      | born of 25 digits                   |
      | born of -1                          |
      | running of 25 digits                |
      | waiting of 400 digits               |
      | kvCacheTotal of 25 digits           |
      | sequence of 25 digits               |
      | adapter version of 25 digits        |
      | adapter version of 5000 digits      |
      | adapter version that is superscript |
      | more of 100000 nested arrays        |
      | models of null                      |

  # Guards against an agent that runs on but never reads its engine's reports again.
  Scenario: Direct path agents go on after a state that could not be published
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When direct path agents fail to publish a state
    And direct path engines send some reports with running of 1
    And direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely

  # Guards against one odd configuration that ends requests, or that makes every later
  # configuration look older. The last readable one stays in force, with one log line.
  Scenario Outline: Direct path keeps its configuration beside one with <odd>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When direct path configuration gets a record with <odd> that is read twice
    And direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path logged the record once
    And direct path entry and agents apply a later configuration

    Examples:
      | odd                             |
      | version of 25 digits            |
      | version of -1                   |
      | priority of 25 digits           |
      | timeoutMs of 1e308              |
      | timeoutMs of NaN                |
      | attempts of 25 digits           |
      | attempts of -1                  |
      | headerBytes of 25 digits        |
      | kvCacheTokens of 25 digits      |
      | services of null                |
      | more of 100000 nested arrays    |

  # Guards against requests for an adapter that end because no message to an agent can
  # contain the announced version.
  Scenario Outline: Direct path serves an adapter beside a version notice of <version>
    Given direct path with a store, a configuration and two engines of 2 adapter slots
    And direct path engines have "a1" loaded
    When direct path configuration gets a notice of version <version> for "a1" that is read twice
    And direct path gets a stream from "/stream/x" for adapter "a1"
    Then direct path delivered the events 1 to 5 completely
    And direct path logged the record once

    Examples:
      | version            |
      | 25 digits          |
      | 5000 digits        |
      | -1                 |
      | 1.5                |
      | 1e400              |
      | 100000 nested arrays |
