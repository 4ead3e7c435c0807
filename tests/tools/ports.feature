Feature: ports for programs of tests

  # Two test runs at the same moment took each other's ports between the check and the
  # start of the program.
  Scenario: processes that run at the same time get different ports
    When 4 processes get 300 ports each at the same time
    Then no port was returned to two of them

  # Settings list two ports in ascending order. Once all ports of a block had been used,
  # the second one was below the first, and a program refused its settings.
  Scenario: upper ports are above the others also when the ports begin again
    Then each of 2000 ports has a free upper one above it
