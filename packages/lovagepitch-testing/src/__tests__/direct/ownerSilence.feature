@direct
Feature: The time that an entry waits for a silent owner of a job

    Each row searches for its own worst instant: the owner ends just before an announcement, its lease is renewed until then,
    all workers but one refuse stops and their clocks are as slow as the platform permits, the workers' lease is extended at each
    millisecond around the expiry, agents go on or are frozen then, and the second entry looks as soon as it may start the job.

    # Guards against an entry that starts a job while runs of a silent owner go on. The bounds on the wait show that the search finds the worst
    # instants: one interval of ticks (25 ms); with it the entry's lease and the allowance for reactions (560 ms), which an owner that is
    # killed does not use; or the interval of announcements (100 ms), if none is lost.
    Scenario Outline: The owner <end>, <lost> of its last announcements lost
        When the owner of a long job <end> and <lost> of its last announcements are lost, and another entry gets the job
        Then the other entry starts the job after the owner's last run has ended, and within <reached> ms in the worst case

        Examples:
            | end       | lost | reached |
            | is frozen | 1    | 25      |
            | is killed | 1    | 585     |
            | is frozen | 0    | 125     |
