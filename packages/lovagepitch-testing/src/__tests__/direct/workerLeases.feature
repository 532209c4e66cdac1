@direct
Feature: Runs end in time although workers do not stop them

    A caller sends its job again 1,300 ms after its connection has broken. By then no run of the former submission may go on,
    also at workers that refuse stops or execute them late while their agents poll them for other runs.

    Background:
        Given 2 entries and 4 workers that run long tasks of both entries

    Scenario Outline: The caller's connection breaks, and all workers <fault>
        When all workers <fault>
        And the caller's connection to entry 0 breaks, and it sends its job to entry 1 after 1300 ms
        Then no task has run twice at the same time within 8000 ms, and the job sent again is done

        Examples:
            | fault                                     |
            | refuse stops                              |
            | execute stops 700 ms late without answer  |
            | execute stops 3000 ms late without answer |

    Scenario Outline: The entry is killed, and all workers <fault>
        When all workers <fault>
        And entry 0 is killed, and its caller sends the job to entry 1 after 1300 ms
        Then no task has run twice at the same time within 8000 ms, and the job sent again is done

        Examples:
            | fault                                     |
            | refuse stops                              |
            | execute stops 700 ms late without answer  |
            | execute stops 3000 ms late without answer |

    Scenario Outline: The entry is frozen for 4 s, and all workers <fault>
        When all workers <fault>
        And entry 0 is frozen for 4000 ms, and its caller sends the job to entry 1 after 1300 ms
        Then no task has run twice at the same time within 8000 ms, and the job sent again is done

        Examples:
            | fault                                     |
            | refuse stops                              |
            | execute stops 3000 ms late without answer |

    Scenario Outline: Half of the agents are killed and start again, and all workers <fault>
        When all workers <fault>
        And half of the agents are killed and start again after 100 ms
        Then no task has run twice at the same time within 8000 ms, and the job sent again is done

        Examples:
            | fault                                     |
            | refuse stops                              |
            | execute stops 3000 ms late without answer |

    # Some view calls get no answer and are executed 2.5 s later, and the lease that they ask for counts from then on.
    Scenario Outline: View calls that are executed late do not extend leases after their agents have been <fault> <milliseconds> ms after a start
        Given every third call to a worker is executed late, and its lease counts from then on
        When a job starts at entry 0, and half of the agents are <fault> after <milliseconds> ms
        Then no task has run twice at the same time within 8000 ms, and the job sent again is done

        Examples:
            | fault  | milliseconds |
            | killed | 100          |
            | killed | 400          |
            | killed | 900          |
            | frozen | 100          |
            | frozen | 400          |
            | frozen | 900          |

    # A process that resumes may run a tick before it learns that connections of callers broke meanwhile.
    Scenario Outline: An entry that resumes after <milliseconds> ms and learns only then that its caller has gone starts nothing for it
        When entry 0 is frozen while its caller's connection breaks, and the caller sends its job to entry 1 after 1300 ms
        And entry 0 resumes <milliseconds> ms after it was frozen, and learns 20 ms later that the connection is broken
        Then no task has run twice at the same time within 8000 ms, and the job sent again is done

        Examples:
            | milliseconds |
            | 1400         |
            | 2000         |
            | 3500         |
