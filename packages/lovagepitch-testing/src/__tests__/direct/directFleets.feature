@direct
Feature: Direct jobs in fleets with more entries than an agent has partners

    Scenario: A fleet with more entries than an agent has partners serves its usual load on time
        When 12 entries and 40 workers in 4 zones receive 0.8 times the default job mix for 3 s
        Then at least 0.99 of the jobs of the mix were done in time
        And no agent is connected to more than 13 entries
        And the guarantees hold in the fleet

    Scenario: An entry with most of the callers gets capacity from agents of other entries
        When 12 entries and 40 workers in 4 zones receive 0.6 times the default job mix for 3 s, half of it at one entry
        Then no job of the mix was refused
        And at least 0.97 of the jobs of the mix were done in time
        And the guarantees hold in the fleet

    Scenario: Entries that end are replaced by others as partners
        When 12 entries and 40 workers in 4 zones receive 0.6 times the default job mix for 2 s
        And entries 0 to 3 are killed
        And 1500 ms pass in the fleet
        Then every other entry has at least 13 agents
        And the guarantees hold in the fleet

    Scenario: A version that one entry cannot read from the store reaches it through agents, without a burst
        Given 12 entries and 40 workers in 4 zones in a fleet
        When all entries of the fleet read version 2 of the configuration
        And all entries of the fleet but one read version 3 of the configuration
        And 1500 ms pass in the fleet
        Then every entry of the fleet has version 3
        And at most 4 configurations were sent in the fleet

    Scenario: Versions that every entry reads from the store are not sent between processes
        Given 12 entries and 40 workers in 4 zones in a fleet
        When all entries of the fleet read version 2 of the configuration
        And 1500 ms pass in the fleet
        Then every entry of the fleet has version 2
        And at most 0 configurations were sent in the fleet

    Scenario: Agents leave an entry that no longer needs their capacity
        When 12 entries and 40 workers in 4 zones receive 0.6 times the default job mix for 2 s, half of it at one entry
        Then an entry of the fleet has asked others for capacity
        And no agent is connected to more than 5 entries
        And the guarantees hold in the fleet
