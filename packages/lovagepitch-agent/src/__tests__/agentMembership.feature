Feature: Configuration, backend server and stop of an agent

    Scenario: A start waits for the newer configuration of its sender
        Given an agent with 1 slot and 0 places to stand by
        And entries say configuration version 2 to the agent
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent has asked entry A for its manifest 1 time
        And the agent last told entry A "nothing" of task 0 of A1
        When entry A sends manifest version 2 for "kolonnawa"
        Then the agent has dispatched "A1/0"
        And the agent has asked to read the manifest 0 times

    Scenario: A start that waited is refused when the newer configuration forbids it
        Given an agent with 1 slot and 0 places to stand by
        And entries say configuration version 2 to the agent
        When entry A starts task "0" of A1 at the agent
        And entry A sends manifest version 2 for "dehiwala"
        Then the agent has dispatched ""
        And the agent last told entry A "refused not-permitted" of task 0 of A1

    Scenario: A start does not wait for long
        Given an agent with 1 slot and 0 places to stand by
        And entries say configuration version 2 to the agent
        When entry A starts task "0" of A1 at the agent
        And 300 ms pass at the agent
        Then the agent has asked to read the manifest 1 time
        When 700 ms pass at the agent
        Then the agent has dispatched ""
        And the agent last told entry A "refused configuration-behind" of task 0 of A1

    Scenario: Nothing starts before there is a manifest
        Given an agent without a manifest
        And entries say configuration version 0 to the agent
        When entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent last told entry A "refused configuration-behind" of task 0 of A1

    Scenario: An agent without a manifest keeps reading the platform's table
        Given an agent without a manifest
        When 3000 ms pass at the agent
        Then the agent has asked to read the manifest 3 times
        When the agent accepts manifest version 1 for "kolonnawa"
        And 60000 ms pass at the agent
        Then the agent has asked to read the manifest 3 times

    Scenario: A newer manifest refuses what stands by and lets what runs finish
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And the agent accepts manifest version 2 for "dehiwala"
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "refused not-permitted" of task 1 of A1
        And the agent last told entry A "succeeded" of task 0 of A1

    Scenario: The configuration never goes back
        Given an agent with 1 slot and 0 places to stand by
        When the agent accepts manifest version 3 for "dehiwala"
        And entry A sends manifest version 2 for "kolonnawa"
        Then the agent's configuration version is 3

    Scenario: A silent backend server gets no starts until it announces itself again
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And 3000 ms pass at the agent
        Then the agent last told entry A "refused backend-unavailable" of task 1 of A1
        When entry A starts task "0" of A2 at the agent
        Then the agent last told entry A "refused backend-unavailable" of task 0 of A2
        When task 0 of A1 ends as "succeeded"
        And the backend server announces itself to the agent
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0 A2/0"

    Scenario: A leaving backend server gets no starts and finishes
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And the backend server leaves the agent
        Then the agent last told entry A "refused leaving" of task 1 of A1
        And the agent's last announcement to entry A says leaving
        When task 0 of A1 ends as "succeeded"
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "refused leaving" of task 0 of A2
        And the agent last told entry A "succeeded" of task 0 of A1
        When the backend server announces itself to the agent
        And entry A starts task "0" of A2 at the agent
        Then the agent has dispatched "A1/0 A2/0"

    Scenario: A failed registration is repeated with growing pauses
        Given an agent that has not registered
        Then the agent has asked for its registration 1 time
        When the registration fails at the agent
        And 500 ms pass at the agent
        Then the agent has asked for its registration 2 times
        When the registration fails at the agent
        And 999 ms pass at the agent
        Then the agent has asked for its registration 2 times
        When 1 ms pass at the agent
        Then the agent has asked for its registration 3 times
        When the agent is registered with number 4
        And 60000 ms pass at the agent
        Then the agent has asked for its registration 3 times

    Scenario: A stopping agent finishes, delivers and hands over
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And the agent is stopped
        Then the agent last told entry A "refused leaving" of task 1 of A1
        And the agent isn't drained
        When entry A starts task "0" of A2 at the agent
        Then the agent last told entry A "refused leaving" of task 0 of A2
        When task 0 of A1 ends as "succeeded"
        Then the agent isn't drained
        When entry A acknowledges task 0 of A1
        Then the agent is drained
        And the agent has dispatched "A1/0"
        And the agent's handover lists "0 succeeded"

    Scenario: A stopping agent tries an unreachable keeper for a while
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And the agent is stopped
        And task 0 of A1 ends as "succeeded"
        And entry A cannot be reached by the agent
        And 4900 ms pass at the agent
        Then the agent isn't drained
        When 100 ms pass at the agent
        Then the agent is drained
        And the agent's handover lists "0 succeeded"

    Scenario: A stopping agent delivers to a keeper that can be reached again
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And the agent is stopped
        And task 0 of A1 ends as "succeeded"
        And entry A cannot be reached by the agent
        And 1000 ms pass at the agent
        Then the agent told entry A the outcome of task 0 of A1 3 times
        When entry A acknowledges task 0 of A1
        Then the agent is drained

    Scenario: A row that became durable after the stop is marked as left
        Given an agent that has not registered
        When the agent is stopped
        Then the agent is drained
        And the agent has asked 0 times to mark its row as left
        When the agent is registered with number 4
        Then the agent has asked 1 time to mark its row as left

    Scenario: A late message of a replaced incarnation is ignored
        Given an agent with 1 slot and 0 places to stand by
        When a start of A1 arrives at the agent after its keeper was replaced
        Then the agent has dispatched ""
