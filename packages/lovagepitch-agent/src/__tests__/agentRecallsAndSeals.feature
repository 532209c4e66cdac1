Feature: Recalls, queries and seals at an agent

    Scenario: A queued task is recalled
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And entry A recalls task 1 of A1
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "refused recalled" for task 1 of A1
        And the last refusal to entry A applies up to start sequence 2

    Scenario: A running task is not recalled
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And entry A recalls task 0 of A1
        Then the agent's last report to entry A is "running" for task 0 of A1

    Scenario: A start that arrives after its recall is refused
        Given an agent with 1 slot and 0 queue places
        When the recall of task 0 of A1 overtakes its start
        Then the agent has dispatched ""
        And the agent's last report to entry A is "refused out-of-order" for task 0 of A1

    Scenario: A recalled task can be started again
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And entry A recalls task 1 of A1
        And entry A starts task "1" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0 A1/1"

    Scenario Outline: A query reports the state of a task
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And entry A queries task <index> of A1
        Then the agent's last report to entry A is "<report>" for task <index> of A1
        And the agent's ledger holds 1 submission

        Examples:
            | index | report      |
            | 0     | running     |
            | 1     | standing-by |
            | 2     | unknown     |

    Scenario: No task of a sealed submission starts
        Given an agent with 1 slot and 1 queue place
        When entry A starts tasks "0,1" of A1 at the agent
        And entry B seals A1 at the agent
        Then the agent's last seal report of A1 to entry B is "0 running"
        And the agent's last report to entry A is "refused sealed" for task 1 of A1
        When task 0 of A1 ends as "succeeded"
        And entry A starts task "1" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the agent's last report to entry A is "refused sealed" for task 1 of A1
        And the agent's last report to entry B is "succeeded" for task 0 of A1
        And the agent's last report to entry A is "succeeded" for task 0 of A1

    Scenario: A submission without started tasks is sealed
        Given an agent with 1 slot and 0 queue places
        When entry B seals A1 at the agent
        And entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent's last seal report of A1 to entry B is ""
        And the agent's last report to entry A is "refused sealed" for task 0 of A1

    Scenario: A repeated seal has the same result
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry B seals A1 at the agent
        And entry C seals A1 at the agent
        Then the agent's last seal report of A1 to entry B is "0 succeeded"
        And the agent's last seal report of A1 to entry C is "0 succeeded"

    Scenario: Records are evicted after the resubmission window and raise the low-water mark
        Given an agent with 2 slots and 0 queue places
        When entry A starts task "0" of A3 at the agent
        And task 0 of A3 ends as "succeeded"
        And entry A acknowledges task 0 of A3
        And 601000 ms pass at the agent with heartbeats
        Then the agent's ledger holds 0 submissions
        And the agent's handover has low-water mark 3 of entry A
        When entry A starts task "0" of A3 at the agent
        Then the agent has dispatched "A3/0"
        And the agent's last report to entry A is "forgotten" for task 0 of A3
        When entry A starts task "0" of A2 at the agent
        Then the agent's last report to entry A is "forgotten" for task 0 of A2
        When entry B seals A2 at the agent
        Then the agent's last seal report of A2 to entry B is "incomplete"
        When entry A starts task "0" of A4 at the agent
        Then the agent has dispatched "A3/0 A4/0"

    Scenario: The low-water mark keeps a seal in effect after the resubmission window
        Given an agent with 1 slot and 0 queue places
        When entry B seals A1 at the agent
        And 601000 ms pass at the agent with heartbeats
        And entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent's last report to entry A is "forgotten" for task 0 of A1

    Scenario: Records are evicted in the order of the owner's sequence numbers
        Given an agent with 3 slots and 0 queue places
        When entry A starts task "0" of A2 at the agent
        And task 0 of A2 ends as "succeeded"
        And entry A acknowledges task 0 of A2
        And 300000 ms pass at the agent with heartbeats
        And entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry A acknowledges task 0 of A1
        And 400000 ms pass at the agent with heartbeats
        Then the agent's ledger holds 2 submissions
        When 301000 ms pass at the agent with heartbeats
        Then the agent's ledger holds 0 submissions
        And the agent's handover has low-water mark 2 of entry A

    Scenario: Records of running tasks are never evicted
        Given an agent with 2 slots and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A2 ends as "succeeded"
        And entry A acknowledges task 0 of A2
        And 1300000 ms pass at the agent with heartbeats
        Then the agent's ledger holds 2 submissions

    Scenario: A full ledger evicts its oldest records
        Given an agent with 1 slot and a ledger limit of 3000 bytes
        When a task of each of "A1,A2,B1,A3,A4" fails
        Then the agent has dispatched "A1/0 A2/0 B1/0 A3/0 A4/0"
        And the agent's ledger holds 3 submissions
        And the agent's handover has low-water mark 2 of entry A

    Scenario: A ledger full of running tasks refuses starts and leaves seals unanswered
        Given an agent with 8 slots and a ledger limit of 1700 bytes
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And entry A starts task "0" of A3 at the agent
        Then the agent has dispatched "A1/0 A2/0"
        And the agent's last report to entry A is "refused busy" for task 0 of A3
        When the agent's messages are counted from here
        And entry B seals A3 at the agent
        Then the agent sent entry B "announceAgent ping" since then
