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
