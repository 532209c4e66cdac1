@direct
Feature: Workers that restart under their ids

    Orders that are executed late reach whatever life of the worker is at the address then. No task may run twice at the
    same time, and every run's end is learned.

    Background:
        Given 2 entries and 4 workers of 16 cores that keep their ids

    Scenario: All workers restart under their ids under load
        When 60 jobs arrive within 1000 ms
        And every worker restarts under its id and reports later
        And 60 jobs arrive within 1000 ms
        And 4000 ms pass for these workers
        Then the guarantees hold, and all capacity is free
        And each worker has started tasks since its restart

    Scenario Outline: Workers go down and up by turns under their ids, and report <first>
        When two workers restart under their ids every <interval> ms for 3000 ms under load, and report <first>
        And 4000 ms pass for these workers
        Then the guarantees hold, and all capacity is free
        And most jobs were done

        Examples:
            | interval | first |
            | 60       | now   |
            | 250      | later |
            | 700      | now   |

    Scenario Outline: Orders of the former life reach the later one <delay> ms later, <first> first
        When the orders to all workers are executed <delay> ms late
        And 30 jobs arrive within 100 ms
        And every worker restarts under its id and reports <first>
        And 40 jobs arrive within 1000 ms
        And 5000 ms pass for these workers
        Then the guarantees hold, and all capacity is free

        Examples:
            | delay | first |
            | 2     | later |
            | 10    | later |
            | 10    | now   |
            | 30    | later |
            | 150   | now   |
            | 600   | later |
            | 2500  | now   |

    Scenario Outline: Agents and workers restart together, the agents learning from their <source>
        When 60 jobs arrive within 600 ms
        And every agent and worker restarts after 100 ms, the agents learning from their <source>
        And 60 jobs arrive within 1000 ms
        And 5000 ms pass for these workers
        Then the guarantees hold, and all capacity is free
        And each worker has started tasks since its restart

        Examples:
            | source |
            | report |
            | record |

    # Guards against orders for the former life that start tasks in the later one and go on: entries place the tasks of a lost
    # agent elsewhere 1,274 ms after its last frame, and an agent that is back before stops what it finds.
    Scenario Outline: Workers and their agents restart together, orders are executed <late> ms late, the agents are back <restart> ms later
        When workers 0 and 1 and their agents end while orders are executed <late> ms late, and the agents are back <restart> ms later
        And 6000 ms pass for these workers
        Then the guarantees hold, and all capacity is free
        And some task has started late in the later lives

        Examples:
            | late | restart |
            | 50   | 1000    |
            | 250  | 1000    |
            | 700  | 1000    |
            | 950  | 1000    |

    Scenario: Orders are executed in the later lives of workers, and the agents are back later than entries wait for them
        When workers 0 and 1 and their agents end while orders are executed 1300 ms late, and the agents are back 1800 ms later
        And 6000 ms pass for these workers
        Then the guarantees hold, and all capacity is free

    # Guards against runs that are not known to have ended because the next life started, by its own clock, before the known one.
    Scenario Outline: Workers restart under their ids with clocks set back <back> ms, and report <time>
        When 60 jobs arrive within 600 ms
        And every worker restarts under its id with its clock set back <back> ms, and reports <time>
        And 60 jobs arrive within 1000 ms
        And 6000 ms pass for these workers
        Then the guarantees hold, and all capacity is free

        Examples:
            | back   | time  |
            | 1000   | now   |
            | 5000   | later |
            | 600000 | now   |
            | 600000 | later |

    Scenario Outline: Orders are executed <late> ms late while workers restart with clocks set back
        When the orders to all workers are executed <late> ms late
        And 60 jobs arrive within 600 ms
        And every worker restarts under its id with its clock set back 5000 ms, and reports later
        And the workers execute their orders without delay
        And 60 jobs arrive within 1000 ms
        And 6000 ms pass for these workers
        Then the guarantees hold, and all capacity is free

        Examples:
            | late |
            | 20   |
            | 100  |
            | 250  |
            | 1000 |
            | 2500 |

    Scenario Outline: Faults in random order with workers that keep their ids, seed <seed>
        When 20 faults occur in random order with workers that keep their ids, seed <seed>
        And 8000 ms pass for these workers
        Then the guarantees hold, and all capacity is free

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
            | 11   |
            | 12   |
