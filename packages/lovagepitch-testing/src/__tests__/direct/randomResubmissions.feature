@direct
Feature: Jobs that are sent again among faults in random order

    Callers lose their connections and send their jobs again, to the same entry within milliseconds or to another one after 1.3 s,
    while connections between entries and agents are replaced, stops are late or refused, and processes end.

    Scenario Outline: Jobs that are sent again among faults in random order, seed <seed>
        When jobs are sent again for 8 s among faults in random order with seed <seed>
        Then none of their tasks ran twice at the same time, and each answer was that of its submission

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
