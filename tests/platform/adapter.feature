Feature: Translation of the platform's files, records and headers

  Scenario: Platform adapter names every bad key of a settings file
    # Guards against a process that starts with half of its settings.
    Given platform adapter settings without "nodeName" and with these values
      | key                 | value      |
      | platform.address    | "nowhere"  |
      | internalPorts       | [7, "x"]   |
      | bounds.drainMs      | -1         |
    When platform adapter checks the settings on the command line
    Then platform adapter exits with 2 and names these keys
      | key              |
      | nodeName         |
      | platform.address |
      | internalPorts    |
      | bounds.drainMs   |

  Scenario: Platform adapter accepts a proper settings file and ignores unknown keys
    Given platform adapter settings with an unknown key
    When platform adapter checks the settings on the command line
    Then platform adapter exits with 0

  Scenario Outline: Platform adapter rejects entries that name no target to use
    # Guards against forged and torn entries of the list of targets.
    Then platform adapter rejects a target entry with <field> set to <value>

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

  Scenario Outline: Platform adapter reads what an answer says of its own execution
    Then platform adapter reads status <status> with "<header>" as <meaning>

    Examples:
      | status | header             | meaning     |
      | 503    | X-Not-Executed: 1  | not run     |
      | 421    | X-Instance-Id: i-1 | not run     |
      | 503    |                    | may have run |
      | 500    |                    | may have run |

  Scenario: Platform adapter drops headers that concern one connection
    # Guards against a caller's connection headers that change the next hop.
    Then platform adapter passes only "X-Own" of "Connection: X-Drop", "X-Drop: 1", "TE: x", "X-Own: 2"

  Scenario: Platform adapter writes orders with all that engines check
    Then platform adapter writes an order with holder, token and expected sequence
