Feature: Refusal of prompt parts that crash targets

  Times are in seconds. A request is written as its name and its shared parts, as in
  "r1:f+p". A crash names the target start and the requests that it ran.

  # Guards against target after target that ends by one part of a prompt, in requests that
  # have nothing else in common.
  Scenario Outline: Crash suspects refuse a part after crashes of different requests
    When crash suspects get the events "<events>"
    Then crash suspects refuse at 9 only the parts "<parts>"

    Examples:
      | events                                                    | parts |
      | 1 crash a r1:p, 2 crash b r2:p, 3 crash c r3:p            | p     |
      | 1 crash a r1:p, 2 crash b r1:p, 3 crash c r2:p            | p     |
      | 1 crash a r1:p, 2 crash b r2:p                            |       |
      | 1 crash a r1:p, 2 crash a r2:p, 3 crash a r3:p            |       |
      | 1 crash a r1:p, 2 crash b r1:p, 3 crash c r1:p            |       |
      | 1 crash a r1:p, 2 crash b r2:p, 8 answered p, 8 crash c r3:p |       |
      | 1 crash a r1:p, 2 crash b r2:p, 3 answered p, 4 crash c r3:p, 5 crash d r4:p, 6 crash e r5:p | |

  # Guards against the refusal of parts that sound requests have, because they run at
  # targets that other requests crash.
  Scenario Outline: Crash suspects refuse only the part that explains the crashes
    When crash suspects get the events "<events>"
    Then crash suspects refuse at 9 only the parts "<parts>"

    Examples:
      | events                                                                                    | parts |
      | 0 answered f, 1 crash a r1:f+p, 2 crash b r2:f+p, 3 crash c r3:f+p                           | p     |
      | 0 answered f, 1 crash a r1:f+p s1:f, 2 crash b r2:f+p s2:f, 3 crash c r3:f+p s3:f, 4 crash d s4:f, 5 crash e s5:f | p |
      | 1 crash a r1:p s1:q, 2 crash b r2:p s2:q, 3 crash c r3:p, 4 crash d r4:p s4:q             | p     |
      | 1 crash a r1:p s1:q, 2 crash b r2:p s2:q, 3 crash c r3:p s3:q, 4 crash d r4:p             | p     |
      | 0 answered f, 1 crash a r1:f+p, 1.2 crash b r2:f+q, 1.4 crash c r3:f+p, 1.6 crash d r4:f+q, 2 crash e r5:f+p, 3 crash g r6:f+q | p+q |

  # Guards against sound parts refused because a failure domain, or all engines, end at
  # one moment.
  Scenario Outline: Crash suspects count the targets that end at one moment once
    When crash suspects get the events "<events>"
    Then crash suspects refuse at 9 only the parts "<parts>"

    Examples:
      | events                                                                                     | parts |
      | 1 crash a r1:f, 1.01 crash b r2:f, 1.02 crash c r3:f, 1.05 crash d r4:f, 1.09 crash e r5:f |       |
      | 0 answered f, 1 crash a r1:f, 1.3 crash b r2:f, 1.6 crash c r3:f, 1.9 crash d r4:f, 2 crash e r5:f, 3 crash g r6:f | |
      | 0 answered f, 1 crash a r1:f, 2 crash b r2:f, 3 crash c r3:f, 4 crash d r4:f, 5 crash e r5:f  | f     |

  # Guards against the content of sound requests refused, because callers sent them again
  # beside a part that crashes targets.
  Scenario: Crash suspects refuse no content for crashes that a refused part explains
    When crash suspects get the events "1 crash a r1:p s1:q, 2 crash b r2:p s1:q"
    Then crash suspects refuse at 2 the content "s1"
    When crash suspects get the events "3 crash c r3:p"
    Then crash suspects accept at 4 the content "s1"

  # Guards against a part that is never served again because it was refused once, and
  # against targets that end again and again because refusals end.
  Scenario: Crash suspects let one request with a refused part through after a minute
    When crash suspects get the events "1 crash a r1:p, 2 crash b r2:p, 3 crash c r3:p"
    Then crash suspects let requests with "p" through at times "62.9 no, 63.1 yes, 63.2 no"
    When crash suspects get the events "64 crash d r4:p"
    Then crash suspects let requests with "p" through at times "183.9 no, 184.1 yes, 184.2 no"
    When crash suspects get the events "185 answered p"
    Then crash suspects refuse at 185 only the parts ""

  # Guards against all requests of a route refused for a minute after a start, because
  # their first part and the one that crashes targets were in the same crashes.
  Scenario: Crash suspects soon try a request that lacks one of the parts in question
    When crash suspects get the events "1 crash a r1:f+p, 2 crash b r2:f+p, 3 crash c r3:f+p"
    Then crash suspects let requests with "f+p" through at times "3.5 no, 4.1 no, 60 no"
    And crash suspects let requests with "f" through at times "3.9 no, 4.1 yes, 4.2 no"
    When crash suspects get the events "5 answered f"
    Then crash suspects refuse at 9 only the parts "p"
    And crash suspects let requests with "f+p" through at times "9 no, 62.9 no"

  # Guards against an entry that starts and sends a refused part to targets again, and
  # against a part that entries refuse for each other though answers with it begin.
  Scenario: Crash suspects adopt the parts that another entry refuses
    When crash suspects get the events "1 crash a r1:p, 2 crash b r2:p, 3 crash c r3:p"
    Then crash suspects of another entry adopt at 9 the refusal of "p" until 63
    And crash suspects of another entry that has completed answers with "p" clear it

  # Guards against a part that is refused for ever because of one malformed message.
  Scenario: Crash suspects adopt no refusal that is longer than their own
    Then crash suspects told at 9 to refuse "p" for 9e15 s try it again at 1210

  # Guards against any order of crashes, requests and sound failures in which a part that
  # crashes targets goes on, or a popular part is refused.
  Scenario: Crash suspects find the poisoned part among random requests
    Then crash suspects of 300 random fleets let at most 3 poisoned requests through later than 3 s after the fifth crash
    And crash suspects of 300 random fleets never refuse a popular part for over 3 s

  # Guards against memory that grows with the number of parts and crashes.
  Scenario: Crash suspects keep a bounded number of parts, crashes and refusals
    Then crash suspects keep at most 2000 parts of 5000, 64 crashes of 200 and 2000 refusals
    And crash suspects keep at most 8000 parts of 20000 that were in one crash

  # Guards against a part that is forgotten because of all the parts that are in crashes
  # beside it.
  Scenario: Crash suspects refuse a part beside thousands of others
    When crash suspects get 5 crashes of requests with "p" beside 7000 other parts each
    Then crash suspects refuse at 9 only the parts "p"
