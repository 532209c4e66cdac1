@direct
Feature: Callers that wait before they send a job again

    A caller whose connection breaks sends its job again 1,300 ms later, to any entry. By then nothing of the former
    submission runs: entries count on 1,274 ms after they were last active.

    Background:
        Given 2 entries and 2 workers with a job of long tasks at entry 0

    # Guards against leases that are too long together: the agents renew the workers' lease until they are frozen, just before the
    # entry's lease expires or while they stop its runs.
    Scenario Outline: Nothing runs 1,274 ms after an entry was frozen, its agents being frozen <milliseconds> ms after it
        When entry 0 is frozen as the connection of the long job's caller breaks, and all agents <milliseconds> ms later
        Then no long task runs 1274 ms after the connection broke

        Examples:
            | milliseconds |
            | 0            |
            | 250          |
            | 400          |
            | 420          |
            | 440          |
            | 460          |
            | 480          |
            | 490          |
            | 500          |
            | 540          |
            | 580          |
            | 590          |
            | 600          |

    # Guards against a margin that the time in which the entry notices the broken connection uses up.
    Scenario Outline: Nothing runs 1,300 ms after a connection broke that the entry notices <milliseconds> ms later, the agents being frozen <later> ms after that
        When the connection of the long job's caller breaks, entry 0 notices it <milliseconds> ms later, cut off then, and agents freeze <later> ms later
        Then no long task runs 1300 ms after the connection broke

        Examples:
            | milliseconds | later |
            | 0            | 450   |
            | 10           | 440   |
            | 26           | 420   |
            | 26           | 440   |
            | 26           | 460   |
            | 26           | 480   |
            | 26           | 500   |

    Scenario: A caller whose connection is open only for its entry sends its job elsewhere, and no task runs twice
        When the connection of the long job's caller breaks for the caller alone, and it sends the job to entry 1 after 1300 ms
        Then no long task ran twice at the same time
