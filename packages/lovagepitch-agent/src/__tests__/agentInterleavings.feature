Feature: Invariants of an agent under any order of events

    Scenario Outline: A task starts at most once, never after a seal or a refusal, and only where it is permitted
        Then <runs> interleavings from seed <seed> preserve the agent's invariants with a ledger limit of <bytes> bytes

        Examples:
            | runs | seed | bytes   |
            | 1500 | 1    | 1000000 |
            | 1500 | 2    | 1000000 |
            | 1500 | 3    | 2500    |
            | 1500 | 4    | 1800    |
