Feature: What an agent promises under any order of events

    Scenario Outline: At most one start, nothing after a seal or a refusal, and only where it is permitted
        Then <runs> interleavings from seed <seed> keep the agent's promises with a ledger of <bytes> bytes

        Examples:
            | runs | seed | bytes   |
            | 1500 | 1    | 1000000 |
            | 1500 | 2    | 1000000 |
            | 1500 | 3    | 2500    |
            | 1500 | 4    | 1800    |
