Feature: Interleavings of faults that nobody thought of

    Scenario Outline: Random faults, pauses and resubmissions with seed <seed>
        When 60 random interleavings run with seed <seed>
        Then no interleaving breaks a rule

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

    Scenario: The interleaving in the variable INTERLEAVING, if any
        When the interleaving given by the environment runs
        Then no interleaving breaks a rule
