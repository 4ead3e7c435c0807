Feature: The HTTP listeners of an entry

  # Guards against a connection that ends because of an error, with no log line that names
  # the cause: cheroot writes to stderr, which is no log of an entry.
  Scenario: Entry server logs an error that the application did not handle
    Given entry server whose application fails
    When entry server receives a request
    Then entry server has answered with 500
    And entry server has logged "HTTP server error" with the cause
