@links
Feature: Links between processes

    Scenario: All messages of a tick to one peer travel as one batch
        Given linked peers A and B
        When A sends B 3 link messages in one tick
        Then B has 3 link messages in 1 batch
        And the batch names A and configuration version 7

    Scenario: Messages of a peer to the sender are sent in the reply
        Given linked peers A and B
        When A sends B a link ping
        Then A receives a pong
        And B opened 0 link connections and piggybacked 1 message

    Scenario: A batch is acknowledged when the tick has no messages for the sender
        Given linked peers A and B
        When A sends B 1 link messages in one tick
        Then A has 1 acknowledged batch and received nothing

    Scenario: A reply does not overtake messages in transit on the peer's own connection
        Given linked peers A and B
        And A's ticks are paused
        When B sends A 1 link messages in one tick
        And a raw connection sends B a ping in A's name
        Then the raw connection reads an empty acknowledgement
        And A receives a pong
        And B opened 1 link connections and piggybacked 0 message

    Scenario: A connection that became silent is replaced
        Given linked peers A and B with a relay between
        When A sends B a link ping
        And A receives a pong
        And the relay stops forwarding on its open connections
        And A keeps sending link pings until the next pong
        Then A closed 1 silent connection
        And the relay accepted 2 connections

    Scenario: An address is reported after two silent connections in a row
        Given linked peers A and B with a relay between
        And the relay stops forwarding on all connections
        When A keeps sending link pings until an address is reported
        Then A closed 2 silent connections
        And A reported the relay's address once

    Scenario: A refused connection is reported immediately
        Given linked peers A and B
        When B's links close
        And A sends B a link ping
        Then A reports B with 1 refused and 0 silent connections

    Scenario: The shutdown of an idle peer is reported although no message is sent
        Given linked peers A and B
        When A sends B a link ping
        And A receives a pong
        And B's links close
        Then A reports B with 1 refused and 0 silent connections

    Scenario: A peer that closes every connection is reported after two connections
        Given linked peers A and B
        And a raw server that closes every connection
        When 1 connection of A is closed by the raw server
        Then A reported nothing and closed 0 silent connections
        When 1 connection of A is closed by the raw server
        Then A reported the raw server once

    Scenario: A server that does not speak WebSocket is reported after two connections
        Given linked peers A and B
        And a raw server that answers "HTTP/1.1 404 Not Found\r\n\r\n"
        When 1 connection of A is closed by the raw server
        Then A reported nothing and closed 0 silent connections
        When 1 connection of A is closed by the raw server
        Then A reported the raw server once

    Scenario: Reports of one address are limited in frequency
        Given linked peers A and B
        And B's links close
        When 3 connections of A are refused at one instant
        Then A reported B 1 time
        When the links' clock of A moves by 200 ms
        And 1 connection of A is refused at one instant
        Then A reported B 2 times

    Scenario: A duplicate batch is delivered twice and acknowledged twice
        Given linked peers A and B
        When a raw connection sends B the same batch twice
        Then both copies are acknowledged
        And B has 2 link messages in 2 batches

    Scenario Outline: A malformed frame is refused and the links keep working: <case>
        Given linked peers A and B
        When a raw connection sends B the frame <case>
        Then B refuses 1 link batch and has received nothing
        When A sends B a link ping
        Then A receives a pong

        Examples:
            | case                    |
            | "no JSON"               |
            | "binary"                |
            | "batch without sender"  |
            | "unknown message type"  |
            | "text for a number"     |
            | "deeply nested payload" |
            | "a fraction for a count" |
            | "300000 wrong messages" |
            | "300000 wrong names"    |

    Scenario Outline: A call other than a delivery is answered with an error: <case>
        Given linked peers A and B
        When a raw connection sends B the frame <case>
        Then the raw connection reads an error and B has received nothing
        When A sends B a link ping
        Then A receives a pong

        Examples:
            | case                |
            | "unknown procedure" |
            | "no id"             |
            | "a JSON list"       |
            | "a JSON null"       |

    Scenario: Random calls are refused and the links keep working
        Given linked peers A and B
        When a raw connection sends B 300 random calls with seed 20261
        Then B has received nothing
        When A sends B a link ping
        Then A receives a pong

    Scenario: An oversized frame closes only its own connection
        Given linked peers A and B with frames of at most 2000 bytes
        When a raw connection sends B a frame of 4000 bytes
        Then the raw connection is closed with code 1009
        When A sends B a link ping
        Then A receives a pong

    Scenario: A batch that is too large for a frame is split in order
        Given linked peers A and B with frames of at most 2000 bytes
        When A sends B 30 link messages of 300 bytes in one tick
        Then B has the 30 link messages in order and none was dropped

    Scenario: Only the message that is too large for a frame is dropped
        Given linked peers A and B with frames of at most 2000 bytes
        When A sends B 2 small link messages around one of 4000 bytes
        Then B has the 2 small link messages and A dropped 1

    Scenario: Both ends keep working after a reply that is too large for a frame
        Given linked peers A and B with frames of at most 2000 bytes
        And B answers pings with a message of 4000 bytes
        When A sends B a link ping
        Then B counts 1 unsendable frame
        When B answers pings with a pong again
        And A sends B a link ping
        Then A receives a pong

    Scenario Outline: A malformed reply is refused and the links keep working: <reply>
        Given linked peers A and B
        And a scripted server that answers A with <reply>
        When A sends the scripted server a link ping
        Then A refuses 1 link batch and has received nothing
        When A sends B a link ping
        Then A receives a pong

        Examples:
            | reply             |
            | "no JSON"         |
            | "binary"          |
            | "no envelope"     |
            | "malformed batch" |
            | "300000 wrong messages" |

    Scenario: Messages beyond the queue's limit are dropped and counted
        Given linked peers A and B with queues of at most 10 messages
        When A sends B 25 link messages in one tick
        Then B has 10 link messages in 1 batch
        And A dropped 15 link messages

    Scenario: Batches beyond the pending limit are refused
        Given linked peers A and B with at most 2 pending replies
        And B's ticks are paused
        When A sends B 3 batches of one link message
        Then B refuses 1 link batch and has received 2

    Scenario: An idle connection is closed and the next message opens a new one
        Given linked peers A and B that close idle connections, with a relay between
        When A sends B a link ping
        And A receives a pong
        Then the relay's connection has ended
        When A sends B a link ping
        Then A receives a pong
        And A reported nothing and closed 0 silent connections

    Scenario: Closing the links waits for the replies to sent messages
        Given linked peers A and B
        When A sends B 2 link messages in one tick and closes its links
        Then B has 2 link messages in 1 batch
        And A dropped 0 link messages

    Scenario: A port in use is an error with a remedy
        Given linked peers A and B
        Then other links cannot listen on A's port
