Feature: Frames between processes

  Scenario: Codec decodes the messages of a frame in order
    # Guards against messages that are lost, changed or reordered by the encoding.
    Given codec messages release "a-1" and release "a-2"
    When codec encodes and decodes them
    Then codec returns the same messages

  Scenario Outline: Codec rejects an invalid frame
    # Guards against a frame that is empty, malformed or of another protocol version and
    # is read as messages that nobody sent.
    When codec decodes the frame <hex>
    Then codec reports <reason>

    Examples:
      | hex    | reason                        |
      | empty  | empty frame                   |
      | 0290   | protocol version 2 is unknown |
      | 01c1   | malformed frame               |
      | 01a161 | malformed frame               |
