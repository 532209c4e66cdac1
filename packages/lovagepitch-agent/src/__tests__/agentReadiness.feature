Feature: Entries that confirm the announcement of an agent

    Scenario: An agent counts the entries that have not confirmed its announcement
        Given a registered agent that reads entries "A,B" from the registry
        Then 2 entries have not confirmed the announcement of the registered agent
        When entry A replies to the registered agent
        Then 1 entries have not confirmed the announcement of the registered agent
        When entry B becomes unreachable for the registered agent
        Then 0 entries have not confirmed the announcement of the registered agent
