@direct
Feature: Random sequences of faults around the leases of runs

    Jobs that are cut off from their callers and sent again 1,300 ms later, stops that are refused or executed late, view calls
    that are executed late, agents that are paused or killed, entries that are paused.

    Scenario Outline: No task runs twice at the same time, seed <seed>
        Given a random sequence of 60 steps around leases, seed <seed>
        Then no task ran twice at the same time in it, every answer of success was true, and every caller got an answer

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |
            | 6    |
            | 7    |
            | 8    |
            | 9    |
            | 10   |
