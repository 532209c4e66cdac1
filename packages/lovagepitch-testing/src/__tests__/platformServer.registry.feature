Feature: Registry of agents and entries

    Scenario: An agent that left keeps its number and cannot register again
        Given a platform registry with agents "a1, a2"
        When agent "a1" is marked as left in the platform registry
        Then the platform registry has version 2 and shows agent "a1" as left with number 1
        And registering agent "a1" again is a conflict
        And renewing agent "a1" is a conflict

    Scenario: Marking an agent that never registered changes nothing
        Given a platform registry with agents "a1"
        When agent "a9" is marked as left in the platform registry
        Then the platform registry has agents "a1"

    Scenario: Numbers keep increasing when rows are removed
        Given a platform registry with agents "a1, a2"
        When agent "a2" is marked as left in the platform registry
        And 600001 ms pass and expired registry rows are removed
        And agent "a3" registers in the platform registry
        Then the platform registry has version 3 and shows agent "a3" as serving with number 3

    Scenario: A number is not assigned twice after the counter was deleted
        Given a platform registry with agents "a1, a2"
        And the platform registry's counter was deleted
        When agent "a3" registers in the platform registry
        Then the platform registry has version 3 and shows agent "a3" as serving with number 3

    Scenario: Rows are kept for the whole resubmission window
        Given a platform registry with agents "a1, a2"
        When agent "a2" is marked as left in the platform registry
        And 600000 ms pass and expired registry rows are removed
        Then the platform registry has agents "a1, a2"

    Scenario: Rows that were not renewed are removed after the resubmission window
        Given a platform registry with agents "a1, a2"
        When agent "a1" renews 300000 ms later
        And 300001 ms pass and expired registry rows are removed
        Then the platform registry has agents "a1"
        And renewing agent "a2" is a conflict

    Scenario: Rows that could not be renewed during an outage of the table are kept
        Given a platform registry with agents "a1, a2"
        When the table is down for 700000 ms while the registry is read
        And 1 ms pass and expired registry rows are removed
        Then the platform registry has agents "a1, a2"

    Scenario: A process that has just started keeps the rows in the state serving
        Given a platform registry with agents "a1, a2"
        And agent "a2" is marked as left in the platform registry
        When 700000 ms pass and a process that has just started removes expired registry rows
        Then the platform registry has agents "a1"

    Scenario: A row that is renewed during its removal is kept
        Given a platform registry with agents "a1"
        When 700000 ms pass and agent "a1" renews between the listing and the removal of expired rows
        Then the platform registry has agents "a1"

    Scenario: A malformed row makes the whole read fail
        Given a platform registry with agents "a1"
        And a malformed row of an agent in the platform registry
        Then reading the platform registry is invalid and names the row

    Scenario: A renewal is one write without a read
        Given a platform registry with agents "a1"
        When agent "a1" renews 1000 ms later
        Then the renewal took 1 write and 0 reads

    Scenario: A pending agent is numbered by the next process that registers an agent
        Given a platform registry with agents "a1"
        And a pending row of agent "a2" that is 1000 ms old in the platform registry
        When agent "a3" registers in the platform registry
        Then the platform registry has agents "a1, a2, a3"
        And the platform registry has no pending rows
        And registering agent "a2" returns the number in its row

    Scenario: A pending row that arrived after its agent was registered is deleted
        Given a platform registry with agents "a1"
        And a pending row of agent "a1" that is 1000 ms old in the platform registry
        When agent "a3" registers in the platform registry
        Then the platform registry has agents "a1, a3"
        And the platform registry has version 2 and shows agent "a1" as serving with number 1
        And the platform registry has no pending rows

    Scenario: A pending row of a registered agent, in a service that does not name conflicting rows
        Given a platform registry with agents "a1"
        And a pending row of agent "a1" that is 1000 ms old in the platform registry
        And a registry table that does not name conflicting rows
        When agent "a3" registers in the platform registry
        Then the platform registry has agents "a1, a3"

    Scenario: A pending row that is too old is not numbered, and expires
        Given a platform registry with agents "a1"
        And a pending row of agent "a2" that is 61000 ms old in the platform registry
        When agent "a3" registers in the platform registry
        Then the platform registry has agents "a1, a3"
        When 700000 ms pass and expired registry rows are removed
        Then the platform registry has no pending rows

    Scenario: A pending agent that is marked as left is not numbered
        Given a platform registry with agents "a1"
        And a pending row of agent "a2" that is 1000 ms old in the platform registry
        When agent "a2" is marked as left in the platform registry
        And agent "a3" registers in the platform registry
        Then the platform registry has agents "a1, a3"

    Scenario: A large group does not exceed the transaction limit by numbering other pending agents
        Given a platform registry with agents "a1"
        And 300 pending rows of other agents in the platform registry
        When a group of 450 agents registers in the platform registry in one transaction of at most 1000 writes
        Then the platform registry has 500 agents with numbers from 1 without gaps
