Feature: Answers of targets that are cut off, on the product's own interface

  # Guards against an answer that was cut off and reaches the caller as a whole one, with
  # an empty or a short body.
  Scenario Outline: Target client reports an error for an answer that ends <where>
    When target client of a <kind> gets an answer that ends <where>
    Then target client reports that the request may have run

    Examples: Services
      | kind    | where                                |
      | service | in the status line                   |
      | service | after the status line                |
      | service | in a header name                     |
      | service | in a header name with a reset        |
      | service | in the value of a header             |
      | service | in a header of an error              |
      | service | after the last header                |
      | service | after the last header with a reset   |
      | service | before its whole length              |
      | service | without a length with a reset        |
      | service | after a length that is no number     |
      | service | after a length of 5000 digits        |
      | service | after two lengths                    |
      | service | before its last chunk                |
      | service | in a chunk                           |

    Examples: Engines
      | kind    | where                                |
      | engine  | in a header name                     |
      | engine  | in a header of an error              |
      | engine  | after the last header                |
      | engine  | before its whole length              |
      | engine  | before its last chunk                |

  Scenario: Target client takes an answer without a length that ends in order
    When target client of a service gets an answer that ends without a length
    Then target client has the body "body of"
