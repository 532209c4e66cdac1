Feature: Bids and offers at an agent

    Scenario: A free slot is offered to the oldest bid
        Given an agent with 1 slot and 0 queue places
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task waiting since 20
        And entry B bids for 1 task waiting since 10
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 1 slot to entry B
        And the agent has offered 0 slots to entry A

    Scenario: An offer is sent with an outcome in one message
        Given an agent with 1 slot and 0 queue places
        When entry A starts task 0 of A1 with a bid for 1 more
        And task 0 of A1 ends as "succeeded"
        Then the agent has offered 1 slot to entry A
        And the agent has sent 0 separate offers

    Scenario: An offered slot is reserved for its entry
        Given an agent with 1 slot and 0 queue places
        When entry B bids for 1 task waiting since 10
        And entry A starts task "0" of A1 at the agent
        Then the agent's last report to entry A is "refused busy" for task 0 of A1
        When entry B starts task "0" of B1 at the agent
        Then the agent has dispatched "B1/0"

    Scenario: A declined slot is offered to the next bid
        Given an agent with 1 slot and 0 queue places
        When entry B bids for 1 task waiting since 10
        And entry A bids for 1 task waiting since 20
        And entry B declines 1 slot
        Then the agent has offered 1 slot to entry A
        And the agent has offered 1 slot to entry B

    Scenario: A slot whose offer expired is offered to the next bid
        Given an agent with 1 slot and 0 queue places
        When entry B bids for 1 task waiting since 10
        And entry A bids for 1 task waiting since 20
        And 19 ms pass at the agent
        Then the agent has offered 0 slots to entry A
        When 1 ms pass at the agent
        Then the agent has offered 1 slot to entry A

    Scenario: The bid of an entry that does not reply is removed after several offers
        Given an agent with 1 slot and 0 queue places
        When entry B bids for 1 task waiting since 10
        And 60000 ms pass at the agent with heartbeats
        Then the agent has offered 8 slots to entry B

    Scenario: A withdrawn bid receives no offer
        Given an agent with 1 slot and 0 queue places
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task waiting since 20
        And entry A bids for 0 tasks waiting since 0
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 0 slots to entry A

    Scenario: The bids of a replaced incarnation are removed
        Given an agent with 1 slot and 0 queue places
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task waiting since 20
        And entry A is replaced by a new incarnation that pings the agent
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 0 slots to entry A

    Scenario: The bids of an unreachable entry are removed
        Given an agent with 1 slot and 0 queue places
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task waiting since 20
        And entry A becomes unreachable for the agent
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 0 slots to entry A

    Scenario: A free slot is used for a queued task and not offered
        Given an agent with 1 slot and 1 queue place
        When entry C starts tasks "0,1" of C1 at the agent
        And entry A bids for 1 task waiting since 20
        And task 0 of C1 ends as "succeeded"
        Then the agent has dispatched "C1/0 C1/1"
        And the agent has offered 0 slots to entry A

    Scenario: A fully occupied agent offers a queue place with a report, to prefetch a task
        Given an agent with 1 slot, 2 queue places and a prefetch limit of 1
        When entry A starts task 0 of A1 with a bid for 2 more
        Then the agent has offered 1 slot to entry A
        And the agent has sent 0 separate offers
        When entry A starts task "0" of A2 at the agent
        Then the agent's last report to entry A is "standing-by" for task 0 of A2
        And the agent has offered 1 slot to entry A

    Scenario: A suspect agent offers one slot at a time
        Given an agent with 4 slots and 0 queue places
        When a task of each of "A1,A2,A3" fails
        And entry B bids for 4 tasks waiting since 10
        Then the agent has offered 1 slot to entry B
