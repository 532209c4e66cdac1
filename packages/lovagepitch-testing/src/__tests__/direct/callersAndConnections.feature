@direct
Feature: Callers and connections

    Connections of callers break at any step of a job, and the callers send it again after 1,300 ms, while connections between
    entries and agents are replaced and processes and workers fail.

    # With the faults of then, each seed failed when ends of runs were matched by job, task and number only and counted for the next
    # submission of their job. Seeds 16 and 18 failed also when a refused call counted as a crash of its worker.
    # By hand with other seeds: SEED_OFFSET is added to each seed, and a failure prints the sum.
    Scenario Outline: Callers send jobs again among faults in random order, seed <seed>
        When 20 connections, processes and workers fail at random while callers send jobs again, seed <seed>
        Then each caller has the true answer to its own request, and nothing ran twice or on
        And at least 60 jobs of these callers were done

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
            | 16   |
            | 18   |

    # With the faults of then, three seeds failed when the second entry started a job at once.
    Scenario Outline: Connections of callers break for them alone among faults in random order, seed <seed>
        When 20 connections, processes and workers fail at random, connections of callers also for them alone, seed <seed>
        Then each caller has the true answer to its own request, and nothing ran twice or on
        And at least 60 jobs of these callers were done

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
            | 58   |

    Scenario Outline: Entries pass jobs on to each other among faults in random order, seed <seed>
        When 20 connections, processes and workers fail at random while entries pass most of the jobs on, seed <seed>
        Then each caller has the true answer to its own request, and nothing ran twice or on
        And at least 60 jobs of these callers were done
        And at least 10 jobs were passed on

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

    Scenario Outline: Entries pass jobs on to each other, and connections break for callers alone, seed <seed>
        When 20 connections fail at random, of callers also for them alone, while entries pass most of the jobs on, seed <seed>
        Then each caller has the true answer to its own request, and nothing ran twice or on
        And at least 60 jobs of these callers were done
        And at least 10 jobs were passed on

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 6    |
            | 7    |
            | 8    |
            | 9    |
            | 10   |
            | 11   |
