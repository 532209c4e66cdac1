@direct
Feature: Jobs that are sent again

    A caller whose connection breaks sends its job again, to the same entry or another one. Runs of the earlier submission,
    and messages about them that are late or repeated, belong to that submission only.

    Background:
        Given 2 entries and 4 workers for jobs that are sent again

    # Guards against ends that an agent repeats on a new connection: they ended the runs of the next submission.
    Scenario Outline: Ends of the first submission that agents repeat end no run of the second one, <milliseconds> ms after its start
        When a job of short and long tasks runs at entry 0 for 300 ms and its caller's connection breaks
        And it is sent again to entry 0 after 1300 ms
        And <milliseconds> ms later all connections between entries and agents are replaced
        And 6000 ms pass for the jobs that are sent again
        Then no task ran twice at the same time, and each answer was that of its submission
        And the job that was sent again was done

        Examples:
            | milliseconds |
            | 0            |
            | 3            |
            | 20           |
            | 90           |

    # Guards against ends for a former process of the entry, which agents repeated to its successor at the same address.
    Scenario Outline: Ends that belong to a killed entry end no run of its successor, with the connections of agent <agent> late
        When a job of short and long tasks runs at entry 0 for 300 ms and its caller's connection breaks
        And entry 0 is killed and restarted after 200 ms, and agent <agent> connects only 1500 ms later
        And it is sent again to entry 0 after 1300 ms
        And 6000 ms pass for the jobs that are sent again
        Then no task ran twice at the same time, and each answer was that of its submission
        And the job that was sent again was done

        Examples:
            | agent |
            | 0     |
            | 1     |
            | 2     |
            | 3     |

    # Guards against ends of the first submission that arrive when the second one is open, and were counted for it.
    Scenario Outline: A job that ran for <runs> ms and is sent again after <pause> ms waits for its first runs, and counts none of their ends
        When a job of short and long tasks runs at entry 0 for <runs> ms and its caller's connection breaks
        And it is sent again to entry 0 after <pause> ms
        And 6000 ms pass for the jobs that are sent again
        Then no task ran twice at the same time, and each answer was that of its submission
        And the job that was sent again was done

        Examples:
            | runs | pause |
            | 300  | 0     |
            | 300  | 5     |
            | 98   | 0     |
            | 98   | 2     |
            | 130  | 10    |

    # Guards against a run whose stop is executed late: the entry took it for ended after a fixed time, with its agent alive.
    Scenario Outline: A job sent again after <pause> ms does not run beside runs whose stops are executed <delay> ms late
        When a job of tasks of 4 s runs at entry 0 for 300 ms and its caller's connection breaks
        And all workers execute stops alone <delay> ms late
        And it is sent again to entry 0 after <pause> ms
        And 12000 ms pass for the jobs that are sent again
        Then no task ran twice at the same time, and each answer was that of its submission

        Examples:
            | delay | pause |
            | 1500  | 0     |
            | 1500  | 1000  |
            | 2500  | 1300  |

    # Guards against a stop that is lost with its connection and not sent again, because the job is open again by then.
    Scenario Outline: Stops that are lost with their connections are sent again although the job was sent again after <pause> ms
        When a job of tasks of 4 s runs at entry 0 for 300 ms, all connections become silent and its caller's connection breaks
        And it is sent again to entry 0 after <pause> ms
        And 12000 ms pass for the jobs that are sent again
        Then no task ran twice at the same time, and each answer was that of its submission
        And the job that was sent again was done

        Examples:
            | pause |
            | 0     |
            | 50    |
            | 200   |
