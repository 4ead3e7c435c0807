Feature: Settings files, records and headers in the platform's formats

  Scenario: Platform settings check reports every invalid key of a file
    # Guards against a process that starts although some of its settings are missing or
    # invalid, and against a check that stops at the first error.
    Given platform settings without "nodeName" and with these values
      | key                 | value      |
      | platform.address    | "nowhere"  |
      | internalPorts       | [7, "x"]   |
      | bounds.drainMs      | -1         |
    When platform settings are checked on the command line
    Then platform settings check exits with 2 and names these keys
      | key              |
      | nodeName         |
      | platform.address |
      | internalPorts    |
      | bounds.drainMs   |

  Scenario: Platform settings check accepts a valid file and ignores unknown keys
    # Guards against processes that no longer start once the platform adds a key.
    Given platform settings with an unknown key
    When platform settings are checked on the command line
    Then platform settings check exits with 0

  Scenario Outline: Platform codec rejects records that describe no usable target
    # Guards against requests to a target whose record was forged or damaged.
    Then platform codec rejects a target record with <field> set to <value>

    Examples:
      | field    | value       |
      | state    | "gone"      |
      | state    | 3           |
      | address  | "host:80"   |
      | address  | "1.2.3.4"   |
      | sequence | "7"         |
      | born     | 1.5         |
      | born     | true        |
      | service  | null        |

  Scenario Outline: Platform codec reads from an answer whether the request may have run
    # Guards against a retry of a request that has run, and against an "unknown" outcome
    # of one that has not. Only the target itself can state that it ran nothing.
    Then platform codec reads status <status> with "<header>" as <meaning>

    Examples:
      | status | header             | meaning     |
      | 503    | X-Not-Executed: 1  | not run     |
      | 421    | X-Instance-Id: i-1 | not run     |
      | 503    |                    | may have run |
      | 500    |                    | may have run |

  Scenario: Platform codec removes headers that concern one connection
    # Guards against a caller whose hop-by-hop headers affect the connection to a target.
    Then platform codec passes on only "X-Own" of "Connection: X-Drop", "X-Drop: 1", "TE: x", "X-Own: 2"

  Scenario Outline: Platform codec reads the shared parts of a prompt
    # Guards against a part that crashes engines and is not recognised in other requests:
    # behind many others, beside a malformed one, or written in another way.
    Then platform codec reads from prompt "<prompt>" the shared parts "<shared>"

    Examples:
      | prompt                                      | shared              |
      | 5c1e07a2:800,91bd3f06:410,e4402b7d:250      | 5c1e07a2 91bd3f06   |
      | 5C1E07a2:800, 91bd3f06:410 ,e4402b7d:250    | 5c1e07a2 91bd3f06   |
      | a:1,b:1,a:1,c:1                             | a b                 |
      | a:1,b:1,c:1,d:1,e:1,f:1,0:1,1:1,2:1,3:1,4:1 | a b c d e f 0 1 2 3 |
      | a:800                                       |                     |
      |                                             |                     |
      | a:1,,b:1                                    | a                   |
      | a:1,b:1,                                    | a                   |
      | a,b:1                                       | a                   |
      | a:1,x:1,b:1                                 | a x                 |
      | a:-1,b:1,c:1                                | a b                 |
      | a:12345678901,b:1                           | a                   |
      | 00Ab:1,ab:1,0:1,c:1                         | ab 0                |
      | f123456789abcdef0123456789abcdef0:1,b:1     | f123456789abcdef0123456789abcdef0 |

  Scenario: Platform codec reads all parts of a prompt that fills the head of a request
    # Guards against a part that is not recognised behind many others, or in another header.
    Then platform codec reads 1300 shared parts of a prompt in 1 header
    And platform codec reads 1300 shared parts of a prompt in 2 headers

  Scenario: Platform codec writes orders with all that engines check
    # Guards against orders that an engine rejects, or carries out twice, because the
    # holder, the fencing token or the expected sequence number is missing or wrong.
    Then platform codec writes an order with holder, token and expected sequence

  # Guards against a caller's number that ends its request with an unhandled exception: it
  # can't be converted, or a message to an agent can't contain it.
  Scenario Outline: Platform codec reads <number> as <tokens> tokens of a prompt
    Then platform codec reads "X-Token-Counts" of <number> as <tokens> tokens

    Examples:
      | number          | tokens  |
      | 100,20          | 100     |
      | 9,x             | 9       |
      | -1,20           | 0       |
      | 1.5             | 0       |
      | 1e400           | 0       |
      | 25 digits       | 0       |
      | 5000 digits     | 0       |

  # Guards against numbers of an engine's report that a message to the entries can't
  # contain, or that end the reading of the report with an unexpected error.
  Scenario Outline: Platform codec rejects a report with <field> of <number>
    Then platform codec rejects a report with <field> of <number>

    Examples:
      | field        | number    |
      | born         | 25 digits |
      | born         | -1        |
      | running      | 25 digits |
      | waiting      | -1        |
      | sequence     | 25 digits |
      | kvCacheUsed  | 25 digits |
      | kvCacheTotal | 25 digits |

  Scenario Outline: Platform codec reads <text> as adapter version <version>
    Then platform codec reads the adapter "a@<text>" with version <version>

    Examples:
      | text        | version |
      | 7           | 7       |
      | \u00b2      | 0       |
      | -1          | 0       |
      | 25 digits   | 0       |
      | 5000 digits | 0       |

  Scenario Outline: Platform codec reads how long a rejecting target wants no work
    # Guards against an answer that can't be used, or a target that is avoided for ever,
    # because of one odd value.
    Then platform codec reads from status <status> with pauses "<values>" the pause "<pause>" and the error "<error>"

    Examples:
      | status | values                        | pause | error                         |
      | 503    | 2                             | 2.0   | -                             |
      | 503    | 0.25                          | 0.25  | -                             |
      | 429    | 2                             | -     | -                             |
      | 503    | -1                            | -     | -1                            |
      | 503    | nan                           | -     | nan                           |
      | 503    | 1e9                           | -     | 1e9                           |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | -     | Wed, 21 Oct 2026 07:28:00 GMT |
      | 503    | 1;2                           | -     | 1, 2                          |

  Scenario Outline: Platform codec reads the limit that a target names
    # Guards against an answer that can't be used, or a target that gets nothing for ever,
    # because of one odd value.
    Then platform codec reads from limits "<values>" the limit "<limit>" and the error "<error>"

    Examples:
      | values | limit | error |
      | 2.5    | 2.5   | -     |
      | 0      | 0.0   | -     |
      | -1     | -     | -1    |
      | nan    | -     | nan   |
      | many   | -     | many  |
      | 1;2    | -     | 1, 2  |
