Feature: Recalls, queries and seals at an agent

    Scenario: A task that stands by is recalled
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And entry A recalls task 1 of A1
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "refused recalled" of task 1 of A1
        And the last refusal to entry A holds up to its start 2

    Scenario: A running task is not recalled
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And entry A recalls task 0 of A1
        Then the agent last told entry A "running" of task 0 of A1

    Scenario: A recall that overtakes its start holds
        Given an agent with 1 slot and 0 places to stand by
        When the recall of task 0 of A1 overtakes its start
        Then the agent has dispatched ""
        And the agent last told entry A "refused out-of-order" of task 0 of A1

    Scenario: A recalled task may be started anew
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And entry A recalls task 1 of A1
        And entry A starts task "1" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        Then the agent has dispatched "A1/0 A1/1"

    Scenario Outline: A query tells what is known
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And entry A queries task <index> of A1
        Then the agent last told entry A "<report>" of task <index> of A1
        And the agent's ledger holds 1 submission

        Examples:
            | index | report      |
            | 0     | running     |
            | 1     | standing-by |
            | 2     | unknown     |

    Scenario: A sealed submission starts no more
        Given an agent with 1 slot and 1 place to stand by
        When entry A starts tasks "0,1" of A1 at the agent
        And entry B seals A1 at the agent
        Then the agent's last seal report of A1 to entry B is "0 running"
        And the agent last told entry A "refused sealed" of task 1 of A1
        When task 0 of A1 ends as "succeeded"
        And entry A starts task "1" of A1 at the agent
        Then the agent has dispatched "A1/0"
        And the agent last told entry A "refused sealed" of task 1 of A1
        And the agent last told entry B "succeeded" of task 0 of A1
        And the agent last told entry A "succeeded" of task 0 of A1

    Scenario: A submission that was never seen is sealed
        Given an agent with 1 slot and 0 places to stand by
        When entry B seals A1 at the agent
        And entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent's last seal report of A1 to entry B is ""
        And the agent last told entry A "refused sealed" of task 0 of A1

    Scenario: A seal is repeated with the same result
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry B seals A1 at the agent
        And entry C seals A1 at the agent
        Then the agent's last seal report of A1 to entry B is "0 succeeded"
        And the agent's last seal report of A1 to entry C is "0 succeeded"

    Scenario: Records leave after the window and raise the low-water mark
        Given an agent with 2 slots and 0 places to stand by
        When entry A starts task "0" of A3 at the agent
        And task 0 of A3 ends as "succeeded"
        And entry A acknowledges task 0 of A3
        And 601000 ms pass at the agent with heartbeats
        Then the agent's ledger holds 0 submissions
        And the agent's handover has low-water mark 3 of entry A
        When entry A starts task "0" of A3 at the agent
        Then the agent has dispatched "A3/0"
        And the agent last told entry A "forgotten" of task 0 of A3
        When entry A starts task "0" of A2 at the agent
        Then the agent last told entry A "forgotten" of task 0 of A2
        When entry B seals A2 at the agent
        Then the agent's last seal report of A2 to entry B is "incomplete"
        When entry A starts task "0" of A4 at the agent
        Then the agent has dispatched "A3/0 A4/0"

    Scenario: A seal outlives the window by the low-water mark
        Given an agent with 1 slot and 0 places to stand by
        When entry B seals A1 at the agent
        And 601000 ms pass at the agent with heartbeats
        And entry A starts task "0" of A1 at the agent
        Then the agent has dispatched ""
        And the agent last told entry A "forgotten" of task 0 of A1

    Scenario: Records leave in the order of the keeper's sequence numbers
        Given an agent with 3 slots and 0 places to stand by
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

    Scenario: The records of running tasks never leave
        Given an agent with 2 slots and 0 places to stand by
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And task 0 of A2 ends as "succeeded"
        And entry A acknowledges task 0 of A2
        And 1300000 ms pass at the agent with heartbeats
        Then the agent's ledger holds 2 submissions

    Scenario: A full ledger drops its oldest records
        Given an agent with 1 slot whose ledger holds 3000 bytes
        When a task of each of "A1,A2,B1,A3,A4" fails
        Then the agent has dispatched "A1/0 A2/0 B1/0 A3/0 A4/0"
        And the agent's ledger holds 3 submissions
        And the agent's handover has low-water mark 2 of entry A

    Scenario: A ledger full of running tasks refuses starts and leaves seals unanswered
        Given an agent with 8 slots whose ledger holds 1700 bytes
        When entry A starts task "0" of A1 at the agent
        And entry A starts task "0" of A2 at the agent
        And entry A starts task "0" of A3 at the agent
        Then the agent has dispatched "A1/0 A2/0"
        And the agent last told entry A "refused busy" of task 0 of A3
        When the agent's messages are counted from here
        And entry B seals A3 at the agent
        Then the agent sent entry B "announceAgent ping" since then
