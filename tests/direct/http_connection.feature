Feature: Client connections of the direct path

  # Guards against a request that ends with an unhandled exception, because an address
  # or a header from a faulty writer is none that the socket or HTTP library accepts.
  Scenario Outline: HTTP connection to <address> reports that nothing was sent
    When HTTP connection is opened to <address>
    Then HTTP connection raises ConnectError

    Examples:
      | address                |
      | port 65536             |
      | port -1                |
      | a host of 80 digits    |
      | a host with a NUL      |
      | a host not in UTF-8    |

  Scenario Outline: HTTP connection sends no request with <part>
    Given HTTP connection to a server
    When HTTP connection sends a request with <part>
    Then HTTP connection raises PeerError
    And HTTP connection can be used again

    Examples:
      | part                         |
      | a path with a space          |
      | a header with a line break   |
      | a header name with a space   |
