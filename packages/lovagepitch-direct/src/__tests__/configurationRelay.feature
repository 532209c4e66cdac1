@configuration-relay
Feature: Configurations that an agent passes on

    Scenario: A request for a configuration outlasts heartbeats until it is answered
        Given an agent of direct jobs that is connected to entries "old" and "new" with versions 2 and 3
        When entry "old" requests the configuration
        And entry "old" sends a heartbeat
        And entry "new" sends the configuration of version 3
        Then the agent sends the configuration of version 3 to entry "old" once

    Scenario: Only one entry is asked for the configuration
        Given an agent of direct jobs that is connected to entries "old" and "new" with versions 2 and 3
        When entry "old" requests the configuration
        Then the agent asks entry "new" for the configuration
        And the agent does not ask entry "old" for the configuration
