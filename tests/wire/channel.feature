Feature: Channels between processes

  # Guards against a process that is aborted at its end, because a thread is still inside
  # a receive when nng goes.
  Scenario: Inbox has stopped its thread when its close returns
    Given inbox whose handler takes 0.3 s
    When inbox gets a message and is closed meanwhile
    Then inbox has no running thread and handled the message
