@direct
Feature: Two processes that act for a moment beside each other

    A process starts before the one that it replaces has ended, and orders of both go out.

    # Guards against two processes of an agent that hold one epoch, so that the worker accepts the orders of both and is overfilled.
    Scenario Outline: Two agents of one worker, the second of which starts <when>
        Given 2 entries, 2 workers and a second agent of worker 0
        When the second agent starts <when>
        And callers send jobs for 6 s, and again after each broken connection
        And 4000 ms pass for the replaced processes
        Then the replaced processes broke no rule, and at least 50 jobs were done
        And the agents have excluded each other at most 3 times

        Examples:
            | when                             |
            | at once and stays                |
            | 1000 ms before the first ends    |
            | 100 ms before the first ends     |
            | while the first one is frozen    |

    Scenario Outline: An entry ends its jobs and is gone <milliseconds> ms later, and its callers go to another one
        Given 2 entries, 2 workers and a second agent of worker 0
        When callers send jobs to entry 0 for 1 s
        And entry 0 ends its jobs, with the connections to its agents <state>, and is gone <milliseconds> ms later
        And callers send their open jobs to entry 1 after 1300 ms
        And 4000 ms pass for the replaced processes
        Then the replaced processes broke no rule, and at least 50 jobs were done

        Examples:
            | milliseconds | state   |
            | 0            | open    |
            | 50           | open    |
            | 0            | silent  |
            | 50           | silent  |
            | 2000         | silent  |

    Scenario Outline: A worker that drains leaves <milliseconds> ms later, and the next one starts at its address under <id>
        Given 2 entries, 2 workers and a second agent of worker 0
        When worker 0 drains while callers send jobs, leaves <milliseconds> ms later, and starts again under <id>
        And callers send jobs for 2 s, and again after each broken connection
        And 4000 ms pass for the replaced processes
        Then the replaced processes broke no rule, and at least 50 jobs were done

        Examples:
            | milliseconds | id          |
            | 50           | another id  |
            | 50           | the same id |
            | 1000         | another id  |
            | 1000         | the same id |
