Feature: Frames between processes

  Scenario: Codec returns the messages of a frame in order
    Given codec messages release "a-1" and release "a-2"
    When codec encodes and decodes them
    Then codec returns the same messages

  Scenario Outline: Codec rejects a frame that would be misread
    When codec decodes the frame <hex>
    Then codec reports <reason>

    Examples:
      | hex    | reason                        |
      | empty  | empty frame                   |
      | 0290   | protocol version 2 is unknown |
      | 01c1   | malformed frame               |
      | 01a161 | malformed frame               |
