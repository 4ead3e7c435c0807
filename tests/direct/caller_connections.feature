Feature: Ends of callers' connections

  # Pattern: a defect of the entry's own, met by one request.
  Scenario Outline: Direct path answers 500 when the handling of a request fails
    # Guards against a connection that is closed without an answer or a refusal, because an
    # exception ended the handling.
    Given direct path with a store, a configuration and two plain targets
    And direct path handling fails while <what>
    When direct path gets a POST to "/once/x" with body "b"
    Then direct path answers 500 "internal-error" with executed "<executed>"
    And direct path answers 500 and closes the connection
    And direct path logged the failure with the request's id

    Examples:
      | what                   | executed |
      | the request is decoded | no       |
      | a target is chosen     | unknown  |

  Scenario Outline: Direct path connection answers 500 when its handler <fails>
    # Guards against a connection that is closed without an answer although the request was
    # read completely.
    Given direct path connections whose handler <fails>
    When direct path caller sends a request and reads to the end
    Then direct path caller got 500 "internal-error" with executed "unknown"

    Examples:
      | fails                   |
      | raises an exception     |
      | returns without answer  |
      | is cancelled            |

  Scenario: Direct path connection aborts an answer that was begun when its handler fails
    # Guards against a refusal in the middle of an answer, and a cut answer that looks complete.
    Given direct path connections whose handler fails within the answer
    When direct path caller sends a request and reads to the end
    Then direct path caller got an incomplete answer

  # Pattern: the operator changes the limits while connections are kept and requests are read.
  Scenario Outline: Direct path connection goes by the limits that a caller may still go by
    # Guards against kept connections that are closed, and requests that are refused, by limits
    # that were lowered after a caller had begun to wait or to send; and against raised limits
    # that only hold for new connections.
    Given direct path connections
    When direct path caller <phase> while "<limit>" changes from <before> to <after>, and goes on 2 s later
    Then direct path caller got answers to both of its requests

    Examples:
      | phase           | limit            | before | after |
      | is idle         | idle_timeout_s   | 15     | 1     |
      | is idle         | header_bytes     | 4096   | 1024  |
      | is idle         | body_bytes       | 4096   | 1024  |
      | sends a head    | header_timeout_s | 3      | 0.4   |
      | sends a head    | header_bytes     | 4096   | 1024  |
      | sends a body    | header_timeout_s | 3      | 0.4   |
      | sends a body    | body_bytes       | 4096   | 1024  |
      | is idle         | idle_timeout_s   | 1      | 15    |
      | is idle         | header_bytes     | 1024   | 4096  |
      | sends a body    | body_bytes       | 1024   | 4096  |

  Scenario: Direct path connection goes by lowered limits from the next answer on
    # Guards against connections that stay open for as long as a limit allowed that is gone.
    Given direct path connections
    When direct path caller gets an answer after "idle_timeout_s" fell from 15 to 1, and waits for 2 s
    Then direct path caller's connection was closed between two requests

  Scenario: Direct path connection refuses a head that grows without end
    # Guards against a head that fills the memory because it never gets complete.
    Given direct path connections
    When direct path caller sends 20000 bytes of a head that does not end
    Then direct path caller got the status 431

  Scenario Outline: Direct path connection answers a request with <kind>
    # Guards against odd but valid requests that end with the connection instead of an answer.
    Given direct path connections
    When direct path caller sends a request with <kind>
    Then direct path caller got the status <status> and all of the answer

    Examples:
      | kind                   | status |
      | Connection: close      | 200    |
      | Expect: 100-continue   | 200    |
      | Upgrade                | 200    |
      | version 1.0            | 200    |
      | method CONNECT         | 501    |

  Scenario: Direct path connection answers a HEAD request without a body
    # Guards against a body that the caller takes for the next answer.
    Given direct path connections
    When direct path caller sends a request with method HEAD
    Then direct path caller got the status 200

  # Pattern: a caller pauses, or its link does, while it reads a long answer.
  Scenario: Direct path connection waits for a caller that pauses within its answer
    # Guards against an answer that is cut off because its caller, which is there and
    # acknowledges all that it has room for, did not read for some seconds.
    Given direct path connections
    When direct path caller pauses for 5 s before it reads an answer of 4000000 bytes
    Then direct path caller got all of the answer

  Scenario: Direct path connection sends a whole answer before it breaks off the next one
    # Guards against a complete answer that is dropped together with the start of the answer to
    # a pipelined request.
    Given direct path connections
    When direct path caller pipelines a request that fails behind one for 4000000 bytes
    Then direct path caller got all of the answer

  Scenario: Direct path connection resets a cut answer that has no length
    # Guards against a cut answer to an HTTP/1.0 caller that looks complete, because its end is
    # the end of the connection.
    Given direct path connections whose handler fails within a stream
    When direct path caller sends a request of version 1.0 and reads to the end
    Then direct path caller's connection was reset

  # Pattern: a caller is still sending when the entry has written its last answer.
  Scenario Outline: Direct path connection's last answer arrives though its caller goes on sending
    # Guards against a close with unread bytes, which resets the connection and takes along what
    # the caller has not received yet.
    Given direct path connections
    When direct path caller sends 20000000 bytes behind <what>
    Then direct path caller got the status <status> and all of the answer

    Examples:
      | what                        | status |
      | a head that is refused      | 413    |
      | the last request in a stop  | 200    |

  Scenario Outline: Direct path connection ends although its caller <does>
    # Guards against connections that wait for a caller forever, each with its buffer.
    Given direct path connections
    When direct path caller <does> after a last answer of <size> bytes
    Then direct path connection ended only after <limit> s

    Examples:
      | does          | size    | limit |
      | stays         | 10      | 1     |
      | reads nothing | 4000000 | 15    |

  Scenario: Direct path connection refuses a request that is not complete when a stop ends
    # Guards against a request whose connection ends with the process, without a refusal.
    Given direct path connections
    When direct path caller sends half a body until the stop ends
    Then direct path caller got 503 "stopping" with executed "no"

  # Pattern: a request ends with its connection, and an operator looks for the cause.
  Scenario Outline: Direct path connection's end within a request has a line that names its cause
    # Guards against requests that vanish without a line, and ends that can't be told apart.
    Given direct path connections
    When direct path caller's connection ends as it <end>
    Then direct path logged one early end in the phase "<phase>" with the reason "<reason>"

    Examples:
      | end                                | phase     | reason               |
      | closes within a head               | reading   | closed by the caller |
      | resets within a body               | reading   | reset by peer        |
      | closes within the handling         | answering | closed by the caller |
      | gets a cut answer                  | answering | answer broken off    |
      | gets a cut answer of version 1.0   | answering | answer broken off    |
      | leaves its last answer unread      | sending   | last answer          |
      | pipelines behind its last answer   | waiting   | last answer          |

  Scenario Outline: Direct path connection's end between two requests has no such line
    # Guards against lines of sound ends, in which those of others would be lost.
    Given direct path connections
    When direct path caller's connection ends as it <end>
    Then direct path logged no early end

    Examples:
      | end                         |
      | closes after its answer     |
      | gets its last answer        |
      | is refused for its head     |

  Scenario: Direct path names the request whose connection ended early
    # Guards against a line that can't be matched with the request that its caller names.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "hang"
    When direct path caller of "/once/x" closes after 0.2 s
    Then direct path logged one early end of the request "r1"

  # Pattern: many requests are open when a stop ends, on a machine that is short of processor
  # time.
  Scenario: Direct path waits for the last refusals when the time of a stop is over
    # Guards against a process that ends a moment before it has refused all that is open.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets handle the next request as "hang"
    And direct path takes 0.2 s to refuse a request when a stop ends
    When direct path gets a request to "/once/x" 0.1 s before it is asked to stop
    Then direct path had answered 502 "stopping" with executed "unknown" when it ended

  # Pattern: a process stands still for some seconds, and callers go on sending meanwhile.
  Scenario Outline: Direct path connection reads what has arrived before it calls a caller late
    # Guards against requests that are refused as too slow, and connections that are closed as
    # idle, because the entry itself was slow.
    Given direct path connections
    When direct path caller <phase> and goes on while the entry stands still for 20 s
    Then direct path caller got answers to both of its requests

    Examples:
      | phase        |
      | is idle      |
      | sends a head |
      | sends a body |

  Scenario: Direct path pages keep no connections whose peers never close them
    # Guards against descriptors that run out because probes leave their connections open.
    Given direct path pages with 20 connections whose peers stay after the last answer
    When direct path pages get two more connections 2 s later
    Then direct path pages have only those two connections

  Scenario Outline: Direct path gives callers an answer when a target's answer is <odd>
    # Guards against answers of targets that can't be written to the caller, which then gets
    # the end of its connection.
    Given direct path with a store, a configuration and two plain targets
    And direct path targets answer raw "<odd>"
    When direct path gets a GET to "/safe/x"
    Then direct path caller has a complete answer with one of "<statuses>"

    Examples:
      | odd                     | statuses |
      | 204 without a body      | 204      |
      | 204 with a body         | 204, 502 |
      | 304 with a length       | 304, 502 |
      | status 099              | 502      |
      | status 999              | 999, 502 |
      | status 101              | 502      |
      | a header of odd bytes   | 200, 502 |
      | a folded header         | 200, 502 |
      | an empty header name    | 502      |
      | other transfer coding   | 502      |
      | two connection options  | 200      |

  Scenario: Direct path limits the lines of a defect that callers can provoke
    # Guards against tracebacks without number, which fill the log and take processor time.
    Given direct path with a store, a configuration and two plain targets
    And direct path handling fails while the request is decoded
    When direct path gets 20 GETs to "/safe/x"
    Then direct path answered all with 500
    And direct path logged one failure within a second for 20 refused requests

  Scenario: Direct path connection notices a caller that leaves with an answer unread
    # Guards against targets that go on with a request whose caller has closed its side,
    # because the entry first waits until the caller has read what nobody reads.
    Given direct path connections
    When direct path caller closes its side with 20000000 bytes of a stream unread
    Then direct path connection told its handler at once
