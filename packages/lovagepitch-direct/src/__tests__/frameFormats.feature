@direct-policies
Feature: Formats of the frames between agents and entries

    Frames are binary between processes that know the format, and JSON otherwise. The fields that the tasks of a job share
    are sent once in a frame.

    Scenario: Binary frames are received as they were sent
        Then any sequence of entry frames is received as it was sent
        And any sequence of agent frames is received as it was sent

    Scenario: Sizes of frames
        Then a heartbeat of an entry takes at most 24 bytes
        And a heartbeat of an agent takes at most 44 bytes
        And 4 starts of a job with a specification of 600 bytes take at most 700 bytes

    Scenario Outline: A process and one of an earlier version exchange JSON
        Given an entry stream and an agent stream, of which the <earlier> stream <knows>
        When they exchange 3 frames each way
        Then all frames have arrived, and 0 binary frames were sent

        Examples:
            | earlier | knows                         |
            | entry   | knows JSON only               |
            | agent   | knows JSON only               |
            | entry   | knows JSON and binary format 1 |
            | agent   | knows JSON and binary format 1 |

    Scenario: Two processes of this version use the binary format after the first frame
        Given an entry stream and an agent stream
        When they exchange 3 frames each way
        Then all frames have arrived, and 5 binary frames were sent

    Scenario: Bytes that are no frame close the connection and nothing else
        Then no sequence of received bytes throws an error, whether or not it begins like a frame

    Scenario: An entry that closes each connection before its first frame is not connected to in a loop
        When an entry closes each connection of an agent at once for 10 s
        Then the agent has connected at most 75 times

    Scenario Outline: A format that is not read is refused with one log line and counted each time
        When 3 connections begin with a frame of format <format>
        Then each was closed because its frame was unreadable, and one line was logged

        Examples:
            | format |
            | 1      |
            | 3      |
