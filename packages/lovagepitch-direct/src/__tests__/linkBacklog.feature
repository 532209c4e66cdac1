@direct-policies
Feature: Start orders in flight on an entry's link

    Load pattern: the link of an entry carries less than its orders need. What waits is bounded in time by the delay that
    frames show; delays of the entry's own process and of single agents are not those of the link.

    Scenario: Delayed frames lower the bound to what the link carries in the target delay
        Given an entry's link with 20 agents that each hold 400 bytes of starts
        When the frames arrive one after the other, each 10 ms after the one before
        Then the link is short, and the bound is between 2048 and 3400 bytes
        And 8000 bytes more would arrive after 150 to 220 ms

    Scenario: Delayed frames without orders do not show what the link carries
        Given an entry's link with 20 agents that each hold 0 bytes of starts
        When the frames arrive one after the other, each 10 ms after the one before
        Then 8000 bytes more would arrive after 0 to 0 ms

    Scenario: A link that is no longer short delays nothing
        Given an entry's link with 20 agents that each hold 400 bytes of starts
        When the frames arrive one after the other, each 10 ms after the one before
        And 600 ms pass without a frame
        Then 8000 bytes more would arrive after 0 to 0 ms

    Scenario: On a fast link a burst is not held before the first reports
        Then a link of 17.5 megabits a second has a first bound of 109375 bytes, one of 0.1 has 2048, one of 100000 has 16777216

    Scenario: Orders that arrive without delay raise the bound while orders wait
        Given an entry's link with 20 agents that each hold 400 bytes of starts
        When orders wait and all frames arrive after 5 ms
        Then the link is not short, and the bound is between 24000 and 25000 bytes

    Scenario: One slow agent does not make the link short
        Given an entry's link with 20 agents that each hold 400 bytes of starts
        When all frames arrive after 5 ms, but one after 200 ms
        Then the link is not short, and the bound is between 16384 and 16384 bytes

    Scenario: A pause of the entry's process does not make the link short
        Given an entry's link with 20 agents that each hold 400 bytes of starts
        When the process pauses and all frames arrive after 200 ms
        Then the link is not short, and the bound is between 16384 and 16384 bytes

    Scenario: Agents that have become silent do not hold up the orders to others
        Given an entry's link with 20 agents that each hold 1000 bytes of starts
        Then 0 bytes may be sent
        When 301 ms pass without a frame
        Then 16384 bytes may be sent

    Scenario: Bytes that the operating system has not taken count as in flight
        Given an entry's link with 20 agents that each hold 100 bytes of starts
        Then 14384 bytes may be sent
        When 16000 bytes wait in the process
        Then 384 bytes may be sent

    Scenario: Agents of earlier versions, which do not say how long they hold a frame, are not counted
        Given an entry's link with 20 agents of an earlier version that each hold 1000 bytes of starts
        Then 16384 bytes may be sent

    Scenario: Starts of an outdated frame are returned to the entry
        Given an agent that has received no frame for 600 ms
        When a frame with 2 starts arrives that has waited for as long
        Then both runs are reported as not started, and no start was sent to the worker
