Feature: Relay whose connections go silent

    Scenario: An open connection goes silent and a new one works
        Given an echo server behind the silent relay
        When a relayed connection has echoed "before"
        And the silent relay silences its connections
        Then the relayed connection stays open and echoes nothing of "during"
        And a new relayed connection echoes "after"
