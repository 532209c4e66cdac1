Feature: Bids and offers at an agent

    Scenario: A free slot is offered to the oldest bid
        Given an agent with 1 slot and 0 places to stand by
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task that wait since 20
        And entry B bids for 1 task that wait since 10
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 1 slot to entry B
        And the agent has offered 0 slots to entry A

    Scenario: The offer rides on the outcome
        Given an agent with 1 slot and 0 places to stand by
        When entry A starts task 0 of A1 with a bid for 1 more
        And task 0 of A1 ends as "succeeded"
        Then the agent has offered 1 slot to entry A
        And the agent has sent 0 separate offers

    Scenario: An offered slot is kept for its entry
        Given an agent with 1 slot and 0 places to stand by
        When entry B bids for 1 task that wait since 10
        And entry A starts task "0" of A1 at the agent
        Then the agent last told entry A "refused busy" of task 0 of A1
        When entry B starts task "0" of B1 at the agent
        Then the agent has dispatched "B1/0"

    Scenario: A declined offer goes to the next bid
        Given an agent with 1 slot and 0 places to stand by
        When entry B bids for 1 task that wait since 10
        And entry A bids for 1 task that wait since 20
        And entry B declines 1 slot
        Then the agent has offered 1 slot to entry A
        And the agent has offered 1 slot to entry B

    Scenario: An offer without a reply goes to the next bid
        Given an agent with 1 slot and 0 places to stand by
        When entry B bids for 1 task that wait since 10
        And entry A bids for 1 task that wait since 20
        And 19 ms pass at the agent
        Then the agent has offered 0 slots to entry A
        When 1 ms pass at the agent
        Then the agent has offered 1 slot to entry A

    Scenario: A bid of a silent entry ends after a few offers
        Given an agent with 1 slot and 0 places to stand by
        When entry B bids for 1 task that wait since 10
        And 60000 ms pass at the agent with heartbeats
        Then the agent has offered 8 slots to entry B

    Scenario: A withdrawn bid gets no offer
        Given an agent with 1 slot and 0 places to stand by
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task that wait since 20
        And entry A bids for 0 tasks that wait since 0
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 0 slots to entry A

    Scenario: The bids of a replaced incarnation are dropped
        Given an agent with 1 slot and 0 places to stand by
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task that wait since 20
        And entry A is replaced by a new incarnation that pings the agent
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 0 slots to entry A

    Scenario: The bids of an unreachable entry are dropped
        Given an agent with 1 slot and 0 places to stand by
        When entry C starts task "0" of C1 at the agent
        And entry A bids for 1 task that wait since 20
        And entry A cannot be reached by the agent
        And task 0 of C1 ends as "succeeded"
        Then the agent has offered 0 slots to entry A

    Scenario: No slot is offered while a task stands by
        Given an agent with 1 slot and 1 place to stand by
        When entry C starts tasks "0,1" of C1 at the agent
        And entry A bids for 1 task that wait since 20
        And task 0 of C1 ends as "succeeded"
        Then the agent has dispatched "C1/0 C1/1"
        And the agent has offered 0 slots to entry A

    Scenario: A busy agent asks for a task ahead on a report that goes out anyway
        Given an agent with 1 slot, 2 places to stand by and 1 fetched ahead
        When entry A starts task 0 of A1 with a bid for 2 more
        Then the agent has offered 1 slot to entry A
        And the agent has sent 0 separate offers
        When entry A starts task "0" of A2 at the agent
        Then the agent last told entry A "standing-by" of task 0 of A2
        And the agent has offered 1 slot to entry A

    Scenario: A suspect agent offers one slot at a time
        Given an agent with 4 slots and 0 places to stand by
        When a task of each of "A1,A2,A3" fails
        And entry B bids for 4 tasks that wait since 10
        Then the agent has offered 1 slot to entry B
