@direct-policies
Feature: Ends of runs of entries that an agent uses for a while

    An agent forgets an entry that has invited it once the entry has no run there. An end that the entry has not received yet
    must reach it, or the task runs again although it has succeeded.

    Background:
        Given an agent with a run of an entry that has invited it

    Scenario: A run succeeds while its entry cannot be reached for a moment
        When the connection to that entry breaks, and the attempt to connect again fails
        And the run succeeds, and the entry can be reached again 200 ms later
        Then the first frame to that entry says that the run has succeeded

    Scenario: A run succeeds and its entry is not heard until the connection would be closed as unused
        When the run succeeds 2200 ms after its start, and that entry sends nothing for 600 ms
        Then the agent has not closed the connection to that entry for want of use

    Scenario: An entry whose runs have ended is forgotten
        When the run succeeds 2200 ms after its start, and that entry is heard for 3000 ms
        Then the agent has closed the connection to that entry for want of use
