@direct
Feature: Entries of unequal size

    The platform sends a caller to an entry of its own zone, and each zone has as many callers. Where the entries of a zone have less processor
    time than their callers need, entries with time to spare serve them.

    # Guards against clients of one zone that are served far less than the mean, because the entries of their zone are small (issue 65).
    Scenario: The callers of one zone need more than its entries can carry
        Given 8 entries in 2 zones with 1350 and 324 thousandths of a core in turn, and 24 workers of 64 cores
        When 110 jobs a second arrive at each entry for 4000 ms
        Then at least 0.9 of the jobs of each zone were done in time
        And no job of them was interrupted
        And the guarantees hold among unequal entries

    Scenario Outline: The callers of one zone need more than its entries can carry, and an entry with time to spare is <fault>
        Given 8 entries in 2 zones with 1350 and 324 thousandths of a core in turn, and 24 workers of 64 cores
        When 110 jobs a second arrive at each entry for 2000 ms
        And spare entry 2 is <fault>
        And 110 jobs a second arrive at each entry but 2 for 2000 ms
        Then at least 0.9 of the latest jobs of each zone were done in time
        And the guarantees hold among unequal entries
        And each caller of an entry that was not lost has its answer

        Examples:
            | fault   |
            | killed  |
            | frozen  |
            | cut off |
            | slow    |

    Scenario: All entries are short of processor time
        Given 8 entries in 2 zones with 324 and 324 thousandths of a core in turn, and 24 workers of 64 cores
        When 110 jobs a second arrive at each entry for 4000 ms
        Then each caller of an entry that was not lost has its answer
        And the guarantees hold among unequal entries
