Feature: Channels between processes

  # Guards against a process that is aborted when it exits: nng aborts it if a thread is
  # still inside a receive at that time.
  Scenario: Inbox has stopped its thread when close returns
    Given inbox whose handler takes 0.3 s
    When inbox receives a message and is closed while the handler runs
    Then inbox has no running thread and has handled the message
