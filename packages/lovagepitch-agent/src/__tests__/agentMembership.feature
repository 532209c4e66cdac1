Feature: Configuration, backend server and graceful shutdown of an agent

    Scenario: A start waits for the newer configuration of its sender
        Given an agent with 1 slot and 0 queue places
        And entries report configuration version 2 to the agent
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent has requested the manifest of entry A 1 time
        And the agent's last report to entry A is "nothing" for task 0 of A1
        When entry A sends manifest version 2 for "kolonnawa"
        Then the agent has dispatched "A1/0"
        And the agent has requested a read of the manifest 0 times

    Scenario: A start that waited is refused when the newer configuration forbids it
        Given an agent with 1 slot and 0 queue places
        And entries report configuration version 2 to the agent
        When entry A starts task "0" of A1 at the agent
        And entry A sends manifest version 2 for "dehiwala"
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused not-permitted" for task 0 of A1

    Scenario: A start that waits for a newer configuration is refused after a timeout
        Given an agent with 1 slot and 0 queue places
        And entries report configuration version 2 to the agent
        When entry A starts task "0" of A1 at the agent
        And 300 ms pass at the agent
        Then the agent has requested a read of the manifest 1 time
        When 700 ms pass at the agent
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused configuration-behind" for task 0 of A1

    Scenario: No task starts without a manifest
        Given an agent without a manifest
        And entries report configuration version 0 to the agent
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused configuration-behind" for task 0 of A1

    Scenario: An agent without a manifest reads the platform's table periodically
        Given an agent without a manifest
        When 3000 ms pass at the agent
        Then the agent has requested a read of the manifest 3 times
        When the agent accepts manifest version 1 for "kolonnawa"
        And 60000 ms pass at the agent
        Then the agent has requested a read of the manifest 3 times

    Scenario: A newer manifest refuses queued tasks and lets running tasks finish
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And the agent accepts manifest version 2 for "dehiwala"
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "refused not-permitted" for task 1 of A1
        And the agent's last report to entry A is "succeeded" for task 0 of A1

    Scenario: An older manifest does not replace a newer one
        Given an agent with 1 slot and 0 queue places
        When the agent accepts manifest version 3 for "dehiwala"
        And entry A sends manifest version 2 for "kolonnawa"
        Then the agent's configuration version is 3

    Scenario: A silent backend server receives no tasks until it announces itself again
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And 3000 ms pass at the agent
        Then the agent's last report to entry A is "refused backend-unavailable" for task 1 of A1
        When entry A starts task "0" of A2 at the agent
        Then the agent's last report to entry A is "refused backend-unavailable" for task 0 of A2
        When task 0 of A1 ends as "succeeded"
        And the backend server announces itself to the agent
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0 A2/0"

    Scenario: A leaving backend server finishes its tasks and receives no new ones
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And the backend server leaves the agent
        Then the agent's last report to entry A is "refused leaving" for task 1 of A1
        And the agent's last announcement to entry A reports leaving
        When task 0 of A1 ends as "succeeded"
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "refused leaving" for task 0 of A2
        And the agent's last report to entry A is "succeeded" for task 0 of A1
        When the backend server announces itself to the agent
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0 A2/0"

    Scenario: A failed registration is retried with exponential backoff
        Given an agent that has not registered
        Then the agent has requested its registration 1 time
        When the registration fails at the agent
        And 500 ms pass at the agent
        Then the agent has requested its registration 2 times
        When the registration fails at the agent
        And 999 ms pass at the agent
        Then the agent has requested its registration 2 times
        When 1 ms pass at the agent
        Then the agent has requested its registration 3 times
        When the agent is registered with number 4
        And 60000 ms pass at the agent
        Then the agent has requested its registration 3 times

    Scenario: An agent that shuts down finishes its tasks, delivers the outcomes and creates a handover
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And the agent is stopped
        Then the agent's last report to entry A is "refused leaving" for task 1 of A1
        And the agent isn't drained
        When entry A starts task "0" of A2 at the agent
        Then the agent's last report to entry A is "refused leaving" for task 0 of A2
        When task 0 of A1 ends as "succeeded"
        Then the agent isn't drained
        When entry A acknowledges task 0 of A1
        Then the agent is drained
        And the agent has dispatched "A1/0"
        And the agent's handover lists "0 succeeded"

    Scenario: An agent that shuts down stops waiting for an unreachable owner after a timeout
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And the agent is stopped
        And task 0 of A1 ends as "succeeded"
        And entry A becomes unreachable for the agent
        And 4900 ms pass at the agent
        Then the agent isn't drained
        When 100 ms pass at the agent
        Then the agent is drained
        And the agent's handover lists "0 succeeded"

    Scenario: An agent that shuts down retries deliveries to an unreachable owner
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And the agent is stopped
        And task 0 of A1 ends as "succeeded"
        And entry A becomes unreachable for the agent
        And 1000 ms pass at the agent
        Then the agent sent entry A the outcome of task 0 of A1 3 times
        When entry A acknowledges task 0 of A1
        Then the agent is drained

    Scenario: A registration row that becomes durable after the shutdown is marked as left
        Given an agent that has not registered
        When the agent is stopped
        Then the agent is drained
        And the agent has requested 0 times to mark its row as left
        When the agent is registered with number 4
        Then the agent has requested 1 time to mark its row as left

    Scenario: A late message of a replaced incarnation is ignored
        Given an agent with 1 slot and 0 queue places
        When a start of A1 arrives at the agent after its owner was replaced
        Then the agent has dispatched ""
