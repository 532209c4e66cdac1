Feature: Memory and descriptors of connections

    A crowd of clients that hold much and finish little leaves room to ordinary clients.

    Scenario: The connections that hold most are closed first
        Given a budget of 10 connections and 1000 bytes
        When connections hold 100, 500, 300 and 50 bytes, and one of them takes 100 more
        Then the connections that held 500 bytes are closed for "memory"

    Scenario: A connection whose request is being processed is closed last
        Given a budget of 10 connections and 1000 bytes
        When a working connection holds 600 bytes, and waiting ones hold 100, 200 and 300 bytes
        Then the connections that held 300 bytes are closed for "memory"

    Scenario: Requests that are being processed leave room to others
        Given a budget of 10 connections and 1000 bytes
        When a working connection holds 700 bytes
        Then there is room for a request on another connection
        And there is no room for a further request of that connection
        When a working connection holds 200 bytes
        Then there is no room for a request on another connection

    Scenario: Under no pressure there is room for another request
        Given a budget of 10 connections and 1000 bytes
        When connections hold 100, 200 and 300 bytes, and one of them takes 300 more
        Then there is room for a further request of that connection

    Scenario: A new connection takes the place of the one that has finished least and waited longest
        Given a budget of 3 connections and 1000 bytes
        When connections have finished 2, 0 and 0 requests, and another one is accepted
        Then connection 2 is closed for "descriptors"

    Scenario: A new connection is refused while all others are working
        Given a budget of 3 connections and 1000 bytes
        When 3 connections are working, and another one is accepted
        Then connection 4 is closed for "all-working"

    Scenario: What connections hold together is counted exactly
        Then the sum is that of the open connections after 300 random changes with seed 1
