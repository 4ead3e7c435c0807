Feature: Settings files

  Scenario Outline: Settings report every bad key of a file, not only the first
    # Guards against a rollout that fails once for each mistake in a file.
    Given settings of the <role> sample
    Then settings with these values report these keys
      | path            | value       | bad key         | reason                                |
      | process.drain_s | -1          | process.drain_s | at least 0 s                          |
      | process.regoin  | "x"         | process.regoin  | unknown key; did you mean "region"?   |
      | channel.listen  | "tcp://a:1" | channel.listen  | must be an IP number, not a host name |
      | channel.peers   | 5           | channel.peers   | must be a list                        |
      | logging.level   | "loud"      | logging.level   | must be "debug" or "info"             |
      | metrics.port    | true        | metrics.port    | must be an integer                    |
      | log.timeout_s   | {}          | log.timeout_s   | must be a number of seconds           |
      | log.retention_s | nan         | log.retention_s | finite number                         |

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario: Settings of an entry are checked across keys
    # Guards against claims that expire before their idempotency keys, and against values
    # that are valid by themselves but contradict each other.
    Given settings of the entry sample
    Then settings with these values report these keys
      | path                       | value                                   | bad key                    | reason                                   |
      | idempotency.key_lifetime_s | 85801                                   | idempotency.key_lifetime_s | at most log.retention_s minus 600: 85800 |
      | callers.tls_key            | "key.pem"                               | callers.tls_certificate    | set together or not at all               |
      | admin.listen               | "10.20.1.11:8080"                       | admin.listen               | also the address of callers.listen       |
      | admin.tokens               | [{name="a", sha256="short", scopes=[]}] | admin.tokens[0].sha256     | 64 lower-case hex digits                 |
      |                            |                                         | admin.tokens[0].scopes     | must have at least 1 entries             |
      | targets                    | [{name="x"}]                            | targets                    | unknown key                              |
      | agents                     | 5                                       | agents                     | must be a table                          |

  Scenario: Settings of an agent are checked across keys
    # Guards against an engine that gets no requests because its base model, adapter
    # slots or batch slots are missing.
    Given settings of the agent sample
    Then settings with these values report these keys
      | path    | value                                                                                                            | bad key                  | reason                      |
      | targets | [{name="x", kind="engine", url="ftp://h"}, {name="x", kind="service", url="http://127.0.0.1:1", batch_places=2}] | targets[0].url           | must be an http://          |
      |         |                                                                                                                  | targets[0].base_model    | engines need it             |
      |         |                                                                                                                  | targets[0].adapter_slots | engines need it             |
      |         |                                                                                                                  | targets[0].batch_places  | engines need it             |
      |         |                                                                                                                  | targets[1].name          | also the name of targets[0] |
      |         |                                                                                                                  | targets[1].batch_places  | for engines only            |

  Scenario: Settings never reveal the secret of minted keys
    # Guards against a secret in a terminal or a deployment log, through the repr of the
    # settings or an error about a mistyped key.
    Given settings of the entry sample
    When settings with a secret are parsed, also too short and under mistyped names
    Then settings reveal the secret nowhere

  Scenario: Settings of the other role are rejected
    # Guards against a host that starts the wrong daemon.
    Given settings of the agent sample
    Then settings parsed as those of an entry report "process.role"

  Scenario Outline: Settings report a file that can't be read
    # Guards against a daemon that ends with a traceback instead of a reason.
    When settings file <content> is read
    Then settings report "<reason>" for the file

    Examples:
      | content    | reason               |
      | missing    | No such file         |
      | latin-1    | must be UTF-8        |
      | not TOML   | is not valid TOML    |

  Scenario: Settings of any text are either accepted or rejected with errors
    # Guards against a checker that crashes on odd input and so reports no bad key.
    Then settings checker raises only error groups for 150 random texts
