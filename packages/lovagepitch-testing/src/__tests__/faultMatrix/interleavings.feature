Feature: Random interleavings of faults

    Scenario Outline: Random faults, freezes and resubmissions with seed <seed>
        When 60 random interleavings run with seed <seed>
        Then no interleaving violates a rule

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

    Scenario: The interleaving in the environment variable INTERLEAVING, if it is set
        When the interleaving in the environment variable runs
        Then no interleaving violates a rule
