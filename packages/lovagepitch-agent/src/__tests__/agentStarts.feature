Feature: Starts at an agent

    Scenario: A task starts immediately in a free slot
        Given an agent with 2 slots and 0 queue places
        When entry A starts tasks "0,1" of A1 at the agent
        Then the agent has dispatched "A1/0 A1/1"
        And the agent's last report to entry A is "running" for task 1 of A1

    Scenario: A fully occupied agent queues tasks up to its limit and refuses the rest
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1,2" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "standing-by" for task 1 of A1
        And the agent's last report to entry A is "refused busy" for task 2 of A1

    Scenario: Queued tasks start in order of arrival
        Given an agent with 1 slot and 2 queue places
        When entry A starts task "0" of A1 at the agent
        And entry B starts task "0" of B1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A1 ends as "succeeded"
        And task 0 of B1 ends as "succeeded"
        Then the agent has dispatched "A1/0 B1/0 A2/0"

    Scenario: A duplicate start is answered from the ledger
        Given an agent with 2 slots and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And the last start arrives at the agent again
        And task 0 of A1 ends as "succeeded"
        And the last start arrives at the agent again
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "succeeded" for task 0 of A1

    Scenario: A new start of a task that ran is answered from the ledger
        Given an agent with 2 slots and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "failed"
        And entry A starts task "0" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "failed" for task 0 of A1

    Scenario: A refused task can be started again
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0 A2/0"

    Scenario: A duplicate of a refused start is refused
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A1 ends as "succeeded"
        And the last start arrives at the agent again
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "refused out-of-order" for task 0 of A2
        And the last refusal to entry A applies up to start sequence 2

    Scenario: An out-of-order start is refused, and the refusal applies to all starts up to the latest one
        Given an agent with 2 slots and 0 queue places
        When start 2 of task 1 of A1 overtakes start 1 of task 0 of A1
        Then the agent has dispatched "A1/1"
        And the agent's last report to entry A is "refused out-of-order" for task 0 of A1
        And the last refusal to entry A applies up to start sequence 2

    Scenario: A start for another incarnation is ignored
        Given an agent with 1 slot and 0 queue places
        When entry A starts a task of A1 at another incarnation
        Then the agent has dispatched ""
        And the agent's last report to entry A is "nothing" for task 0 of A1

    Scenario: A start with a forged submission id is refused
        Given an agent with 1 slot and 0 queue places
        When entry A starts a task of A1 with a forged id
        Then the agent has dispatched ""
        And the last refusal to entry A applies up to start sequence 1

    Scenario: Only the owner of a submission can start its tasks
        Given an agent with 1 slot and 0 queue places
        When entry B starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent's last report to entry B is "refused not-eligible" for task 0 of A1

    Scenario: An agent that is not registered starts nothing
        Given an agent that has not registered
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused not-registered" for task 0 of A1

    Scenario Outline: An agent refuses tasks whose submission id was issued before its registration
        Given an agent with 1 slot and 0 queue places
        And submission ids at the agent have registry version <version>
        When entry A starts task "0" of A1 at the agent
        Then the agent's last report to entry A is "<report>" for task 0 of A1

        Examples:
            | version | report               |
            | 0       | refused not-eligible |
            | 1       | running              |
            | 2       | running              |

    Scenario: The agent checks its availability zone against its own manifest
        Given an agent with 1 slot and 0 queue places
        When entry A starts a task of A1 of kind "heat"
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused not-permitted" for task 0 of A1

    Scenario: The agent starts only tasks of services that its backend server provides
        Given an agent with 1 slot and 0 queue places
        When entry A starts a task of A1 of service "settlement"
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused not-permitted" for task 0 of A1

    Scenario: No task starts without a backend server
        Given an agent without a backend server
        When entry A starts task "0" of A1 at the agent
        Then the agent's last report to entry A is "refused backend-unavailable" for task 0 of A1

    Scenario: A start after its deadline is refused
        Given an agent with 1 slot and 0 queue places
        When entry A starts a task of A1 due in 0 ms
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused deadline-passed" for task 0 of A1

    Scenario: A queued task is refused when its deadline passes
        Given an agent with 1 slot and 1 queue place
        When entry A starts task "0" of A1 at the agent
        And entry A starts a task of A2 due in 200 ms
        And 200 ms pass at the agent
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "refused deadline-passed" for task 0 of A2

    Scenario: A task that was not delivered to the backend server is reported as not run and cannot start here again
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "not-delivered"
        Then the agent's last report to entry A is "refused backend-unavailable" for task 0 of A1
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the last refusal to entry A applies up to start sequence 2

    Scenario: Decisions are logged without payloads
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1,2" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry B seals A1 at the agent
        Then the agent's logged decisions are "configured declined started taken finished started sealed" without payloads
