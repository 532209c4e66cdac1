@direct
Feature: The time that an entry waits for a silent owner of a job

    Each row searches for its own worst instant: the owner ends just before an announcement, its lease is renewed until then,
    all workers but one refuse stops and their clocks are as slow as the platform permits, the workers' lease is extended at each
    millisecond around the expiry, agents go on or are frozen then, and the second entry looks as soon as it may start the job.

    # Guards against an entry that starts a job while runs of a silent owner go on.
    Scenario Outline: The owner <end>, <lost> of its last announcements lost
        When the owner of a long job <end> and <lost> of its last announcements are lost, and another entry gets the job
        Then the other entry starts the job after the owner's last run has ended, and within <reached> ms in the worst case

        Examples:
            | end       | lost | reached |
            | is frozen | 1    | 10      |
            | is killed | 1    | 570     |
            | is frozen | 0    | 110     |
