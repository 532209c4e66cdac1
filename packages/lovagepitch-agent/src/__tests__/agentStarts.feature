Feature: Starts at an agent

    Scenario: A free slot starts a task at once
        Given an agent with 2 slots and 0 places to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        Then the agent has dispatched "A1/0 A1/1"
        And the agent last told entry A "running" of task 1 of A1

    Scenario: A full agent lets a few tasks stand by and refuses the rest
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1,2" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "standing-by" of task 1 of A1
        And the agent last told entry A "refused busy" of task 2 of A1

    Scenario: Tasks that stand by start first come first served
        Given an agent with 1 slot and 2 places to stand by
        When entry A starts task "0" of A1 at the agent
        And entry B starts task "0" of B1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A1 ends as "succeeded"
        And task 0 of B1 ends as "succeeded"
        Then the agent has dispatched "A1/0 B1/0 A2/0"

    Scenario: A doubled start is answered from the ledger
        Given an agent with 2 slots and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And the last start arrives at the agent again
        And task 0 of A1 ends as "succeeded"
        And the last start arrives at the agent again
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "succeeded" of task 0 of A1

    Scenario: A new start of a task that ran is answered from the ledger
        Given an agent with 2 slots and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "failed"
        And entry A starts task "0" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "failed" of task 0 of A1

    Scenario: A refused task may be started anew
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0 A2/0"

    Scenario: A refused start that is doubled stays refused
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A1 ends as "succeeded"
        And the last start arrives at the agent again
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "refused out-of-order" of task 0 of A2
        And the last refusal to entry A holds up to its start 2

    Scenario: A start that was overtaken is refused for every start up to the later one
        Given an agent with 2 slots and 0 places to stand by
        When start 2 of task 1 of A1 overtakes start 1 of task 0 of A1
        Then the agent has dispatched "A1/1"
        And the agent last told entry A "refused out-of-order" of task 0 of A1
        And the last refusal to entry A holds up to its start 2

    Scenario: A start for another incarnation is ignored
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts a task of A1 at another incarnation
        Then the agent has dispatched ""
        And the agent last told entry A "nothing" of task 0 of A1

    Scenario: A start under a forged id is refused
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts a task of A1 under a forged id
        Then the agent has dispatched ""
        And the last refusal to entry A holds up to its start 1

    Scenario: Only the keeper starts a submission's tasks
        Given an agent with 1 slot and 0 places to stand by
        When entry B starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent last told entry B "refused not-eligible" of task 0 of A1

    Scenario: An agent that is not registered starts nothing
        Given an agent that has not registered
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent last told entry A "refused not-registered" of task 0 of A1

    Scenario Outline: An agent starts only ids that know of its registration
        Given an agent with 1 slot and 0 places to stand by
        And ids carry registry version <version> at the agent
        When entry A starts task "0" of A1 at the agent
        Then the agent last told entry A "<report>" of task 0 of A1

        Examples:
            | version | report               |
            | 0       | refused not-eligible |
            | 1       | running              |
            | 2       | running              |

    Scenario: The agent checks its availability zone against its own manifest
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts a task of A1 of kind "heat"
        Then the agent has dispatched ""
        And the agent last told entry A "refused not-permitted" of task 0 of A1

    Scenario: The agent starts only services that its backend server offers
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts a task of A1 of service "settlement"
        Then the agent has dispatched ""
        And the agent last told entry A "refused not-permitted" of task 0 of A1

    Scenario: Without a backend server nothing starts
        Given an agent without a backend server
        When entry A starts task "0" of A1 at the agent
        Then the agent last told entry A "refused backend-unavailable" of task 0 of A1

    Scenario: A start after its deadline is refused
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts a task of A1 due in 0 ms
        Then the agent has dispatched ""
        And the agent last told entry A "refused deadline-passed" of task 0 of A1

    Scenario: A task whose deadline passes while it stands by is dropped
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts task "0" of A1 at the agent
        And entry A starts a task of A2 due in 200 ms
        And 200 ms pass at the agent
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "refused deadline-passed" of task 0 of A2

    Scenario: A task that the backend server did not get is reported as not run and closed here
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "not-delivered"
        Then the agent last told entry A "refused backend-unavailable" of task 0 of A1
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the last refusal to entry A holds up to its start 2

    Scenario: Decisions are logged without payloads
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1,2" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry B seals A1 at the agent
        Then the agent's decisions name "configured declined started taken finished started sealed" and no payload
