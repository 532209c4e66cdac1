@direct
Feature: Jobs that are submitted at two entries

    A caller whose connection is broken for it alone submits its job to another entry 1,300 ms later. Entries tell each other which
    jobs they have had open for 1,000 ms; the second entry starts the job when the first one has released it.

    Background:
        Given 3 entries that know each other and a job of long tasks at entry 0

    # Guards against an entry that runs a job beside another one because datagrams were lost.
    Scenario Outline: A job runs at one entry although <lost> are lost
        Given <lost> are lost
        When the caller submits the long job to entry 1 after 1300 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 1

        Examples:
            | lost                                      |
            | the first open-jobs datagrams             |
            | the second open-jobs datagrams            |
            | the first release-job datagrams           |
            | the first job-released datagrams          |
            | the first and second job-released datagrams |
            | all job-released datagrams                |

    Scenario Outline: A job runs at one entry although datagrams arrive <milliseconds> ms late, <copies> times
        Given datagrams arrive <milliseconds> ms late, <copies> times
        When the caller submits the long job to entry 1 after 1300 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 1

        Examples:
            | milliseconds | copies |
            | 0            | 2      |
            | 40           | 1      |
            | 90           | 3      |

    # Guards against a release of a job that its caller has submitted to the entry again since.
    Scenario Outline: A job that comes back to its first entry is not released by a late request, <milliseconds> ms late
        Given copies of datagrams arrive <milliseconds> ms late
        When the caller submits the long job to entry 1 after 1300 ms
        And the caller submits the long job to entry 0 after 1300 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 0

        Examples:
            | milliseconds |
            | 10           |
            | 1300         |
            | 1400         |
            | 2000         |

    Scenario: A job that goes from entry to entry runs at one of them
        When the caller submits the long job to entry 1 after 1300 ms
        And the caller submits the long job to entry 2 after 1300 ms
        And the caller submits the long job to entry 1 after 1300 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 1

    # Guards against a start while runs of an owner that was killed go on, and against a job that waits for it forever.
    Scenario Outline: The owner is killed <milliseconds> ms after the request, before its answer, and agents freeze
        Given all job-released datagrams are lost
        When the caller submits the long job to entry 1 after 1300 ms
        And entry 0 is killed <milliseconds> ms later, and its agents freeze for 900 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 1

        Examples:
            | milliseconds |
            | 0            |
            | 1            |
            | 2            |
            | 20           |
            | 60           |
            | 200          |

    Scenario Outline: The owner is frozen <before> ms before the second submission, for <milliseconds> ms
        When entry 0 is frozen <before> ms before the caller submits the long job to entry 1, for <milliseconds> ms
        Then no task of the long job ran twice at the same time, and it was done at entry 1

        Examples:
            | before | milliseconds |
            | 0      | 100          |
            | 0      | 450          |
            | 0      | 1200         |
            | 0      | 3000         |
            | 90     | 450          |
            | 90     | 1000         |
            | 90     | 2000         |

    # Guards against an entry that has started after the announcements and starts the job beside its owner.
    Scenario: An entry that has just started learns of the jobs of others
        When entry 1 is started again 50 ms before the caller submits the long job to it
        Then no task of the long job ran twice at the same time, and it was done at entry 1

    Scenario: A job that nobody has announced starts at once and causes no message
        Given another job of short tasks at entry 2
        Then it has started within 5 ms, and no message named it

    # Guards against an answer that says that a job has not run while another entry runs it.
    Scenario: A job that may have run at another entry is not refused
        Given all release-job datagrams are lost
        When the caller submits the long job to entry 1 after 1300 ms, with an estimate of 500 ms
        Then the answer of entry 1 is "interrupted"

    Scenario: A job that no entry has started is refused although another entry had it
        When a job that no worker may run goes from entry 0 to entry 1 after 1300 ms
        Then the answer of entry 1 is "refused"

    Scenario: Entries that do not hear each other start a job at once, as before
        Given all open-jobs datagrams are lost
        When the caller submits the long job to entry 1 after 1300 ms
        Then tasks of the long job have started at entry 1 within 5 ms

    # Guards against an entry that starts a job which a third one still has, because the second one has released it.
    Scenario: An entry that waits for the owner of a job names it to the next one
        Given open-jobs datagrams from entry 0 to entry 2 and release-job datagrams from entry 1 to entry 0 are lost
        When the caller submits the long job to entry 1 after 1300 ms
        And the caller submits the long job to entry 2 after 1300 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 2

    # Guards against an entry that asks for the release of an earlier submission until the owner has done the job for nobody.
    Scenario: An entry asks for the submission that the owner names later
        When the caller submits the long job to entry 0 after 1300 ms, and its first open-jobs datagrams since are lost
        And the caller submits the long job to entry 1 after 1300 ms
        Then no task of the long job ran twice at the same time, and it was done at entry 1
        And entry 0 has interrupted the long job

    # Guards against an answer that says that a job has not run, because an owner that started nothing was the last one to release it.
    Scenario: A job of which one owner is silent and another one has started nothing is not refused
        Given entry 0 has started tasks of the long job, of which entry 2 does not know, and no worker has room for them any more
        When the caller submits the long job to entry 2 after 1300 ms
        And entry 0 is killed and the caller submits the long job to entry 1 after 1300 ms
        And release-job datagrams to entry 2 are lost for 2000 ms
        Then entry 2 has released the long job and started nothing, after entry 1 no longer waited for entry 0
        And the answer of entry 1 is "interrupted"
