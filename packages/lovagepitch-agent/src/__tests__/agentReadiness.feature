Feature: Entries that confirm the announcement of an agent

    Scenario: An agent counts the entries that have not confirmed its announcement
        Given a registered agent that reads entries "A,B" from the registry
        Then 2 entries have not confirmed the announcement of the registered agent
        When entry A replies to the registered agent
        Then 1 entries have not confirmed the announcement of the registered agent
        When entry B becomes unreachable for the registered agent
        Then 0 entries have not confirmed the announcement of the registered agent

    # Guards against an agent that counts as ready while an entry that it has not read of issues ids without it.
    Scenario: An agent that one entry has contacted waits until it has read which other entries there are
        Given a registered agent that has not read the entries
        When entry B pings the registered agent
        And entry B replies to the registered agent
        Then not all entries know the registered agent
        When the registered agent reads entries "A,B" from the registry
        Then not all entries know the registered agent
        When entry A replies to the registered agent
        Then all entries know the registered agent
