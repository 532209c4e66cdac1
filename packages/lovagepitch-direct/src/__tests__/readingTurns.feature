Feature: Turns of the connections whose bytes are parsed

    Scenario: New requests are parsed together, and the others follow in their order
        Given 25 connections with new requests that wait, each of whose turns takes 2 ms
        Then connections 1 to 10 have their turn in turn 1 of the event loop
        And connections 11 to 20 have their turn in turn 2 of the event loop
        And connections 21 to 25 have their turn in turn 3 of the event loop

    Scenario: A turn ends when its time is used up, and the others follow in their order
        Given 10 connections that wait, each of whose turns takes 2 ms
        Then connections 1 to 3 have their turn in turn 1 of the event loop
        And connections 4 to 6 have their turn in turn 2 of the event loop
        And connections 10 to 10 have their turn in turn 4 of the event loop

    # Guards against ordinary callers that get no answer while a crowd sends bodies in very small chunks (third review, case 14).
    Scenario: A request that has cost little goes before those that have cost much
        Given 100 connections with costly requests that wait, each of whose turns takes 2 ms
        When a connection with a new request waits, too
        Then that connection has its turn in the next turn of the event loop

    # Guards against slow callers that are not served while others come and go.
    Scenario: One connection with a costly request has its turn however many others wait
        Given 3 connections with costly requests that wait, each of whose turns takes 2 ms
        And 1000 connections that wait, each of whose turns takes 2 ms
        Then each of the connections with costly requests has had its turn after 3 turns of the event loop

    Scenario: Turns are short while connections are accepted
        Given a connection is accepted, and 10 connections wait, each of whose turns takes 2 ms
        Then connections 1 to 1 have their turn in turn 1 of the event loop
        And connections 2 to 4 have their turn in turn 2 of the event loop

    Scenario: Received bytes wait while the time of a turn is used up
        Given a turn of the event loop in which 6 ms were spent
        Then received bytes of a request that has begun have to wait
        But those of a new request have not, and none have in the next turn of the event loop
