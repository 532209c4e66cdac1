@direct-policies
Feature: Delay until connections are accepted

    Node.js accepts one connection in each turn of the event loop. In a process that is starved, a connection waits for many turns, although
    each of them is only a little late.

    # Guards against an entry that takes an old submission for a new one, as its connection was accepted late (issue 44).
    Scenario: Connections of consecutive turns may have waited since before the first one
        Given a process that may have last read at 100
        When it accepts connections in 5 consecutive turns, and may have last read at 5000 in the later ones
        Then each of them may have arrived at 100

    Scenario: A connection after a turn that accepted none has not waited
        Given a process that may have last read at 100
        When it accepts connections in 2 consecutive turns, and may have last read at 5000 in the later ones
        And some turns pass
        And it accepts a connection
        Then the last one may have arrived at 5000

    # The reason for the above; a later Node.js may accept more.
    Scenario: A server accepts one connection in a turn
        Then of 10 connections that wait while a server does not read, each is accepted in a turn of its own
