Feature: Relay that can stop forwarding on its open connections

    Scenario: An open connection becomes silent and a new one works
        Given an echo server behind the silent relay
        When a relayed connection has echoed "before"
        And the silent relay stops forwarding on its open connections
        Then the relayed connection stays open and echoes nothing of "during"
        And a new relayed connection echoes "after"
