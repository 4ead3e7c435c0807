Feature: Turns of connections that hold much to read

  # Guards against a peer that stops the process: what has arrived of its message, in
  # pieces of one byte, was processed without once letting the event loop go on.
  Scenario Outline: Read turns let other work go on while <reader> has many pieces to read
    Given read turns of <reader> that has received 20000 pieces of one byte
    When read turns let the pieces be read beside other work
    Then read turns let the other work go on after every 100 pieces

    Examples:
      | reader                   |
      | a connection to a target |
      | a caller's connection    |

  # Guards against pieces that are full of tiny events.
  Scenario: Read turns count the work for the events of a piece
    Given read turns of a connection whose pieces take 32 times the work and that has 500
    When read turns let the pieces be read beside other work
    Then read turns let the other work go on after every 2 pieces

  # Guards against many such peers together: each of them may only add one turn.
  Scenario: Read turns let one connection go on at a time
    Given read turns with 50 connections waiting
    When read turns run one iteration of the event loop
    Then read turns have let 1 connection go on

  # Guards against a turn that is lost with the connection that waited for it.
  Scenario: Read turns pass over a connection that has been given up
    Given read turns with 3 connections waiting
    When read turns lose the first connection
    Then read turns let the 2 others go on

  # Guards against an unfinished event that is searched anew with each of its pieces.
  Scenario: Event stream searches the pieces of an event only once
    Given event stream that counts the bytes it searches
    When event stream gets 200000 bytes of one event in pieces of 100
    Then event stream has searched at most 2 bytes for each byte

  # Guards against an end of an event that is missed between two pieces.
  Scenario: Event stream finds the end of an event that is cut anywhere
    Then event stream completes the same events however their bytes are cut
