@direct
Feature: Submissions that an entry reads late

    An entry that was frozen reads what has waited meanwhile. A submission may be so old that its caller has submitted the job to another
    entry since, and nothing tells the entry that the caller's connection is broken. Before it places tasks of such a job, it asks
    the other entries.

    # Guards against an entry that starts a job beside another one because it takes an old submission for a new one (review, case 2).
    Scenario Outline: A frozen entry reads a submission while another entry runs the job, and <lost>
        Given 3 entries, and <lost>
        When entry 0 is frozen for <frozen> ms, and a job is submitted to it after 200 ms and to entry 1 after <second> ms
        Then no task of the job ran twice at the same time, and entry 1 has done it

        Examples:
            | frozen | second | lost                                    |
            | 3500   | 3000   | no datagram is lost                     |
            | 3500   | 3000   | the first inquire-jobs datagrams are lost |
            | 3500   | 3000   | the first open-jobs datagrams are lost  |
            | 3500   | 3000   | the first release-job datagrams are lost |
            | 3500   | 3000   | datagrams arrive 100 ms late            |
            | 3001   | 3000   | datagrams arrive 100 ms late            |
            | 1600   | 1520   | no datagram is lost                     |
            | 1600   | 1520   | datagrams arrive 100 ms late            |

    Scenario: A frozen entry reads a submission that no other entry has got
        Given 3 entries, and no datagram is lost
        When entry 0 is frozen for 3500 ms, and a job is submitted to it after 200 ms
        And 100 ms pass after the freeze
        Then tasks of the job run
        And entry 0 has done the job

    Scenario: An entry that does not answer is waited for as long as its runs could go on
        Given 3 entries, and no datagram is lost
        When entry 2 ends without a notice
        And entry 0 is frozen for 3500 ms, and a job is submitted to it after 200 ms
        And 1300 ms pass after the freeze
        Then no task of the job runs
        When 400 ms pass after the freeze
        Then tasks of the job run

    # Entries of the former version do not answer inquiries.
    Scenario: An entry that is heard but answers no inquiry is not waited for longer
        Given 3 entries, of which no answer to an inquiry arrives
        When entry 0 is frozen for 3500 ms, and a job is submitted to it after 200 ms
        And 1700 ms pass after the freeze
        Then tasks of the job run

    # Guards against a job that both entries give up because each takes the other one for the younger.
    Scenario: Two entries that were frozen at the same time read submissions of one job
        Given 3 entries, and no datagram is lost
        When entries 0 and 1 are frozen for 3500 ms and 3520 ms, and a job is submitted to the first after 200 ms and to the second after 3000 ms
        Then no task of the job ran twice at the same time, and one entry has done it

    # Guards against an entry that starts a job beside its owner because it was cut off while that one announced it (seed 101 of
    # callersAndConnections).
    Scenario Outline: An entry that was cut off until <end> ms gets a job at <second> ms that another one runs
        Given 3 entries, and no datagram is lost
        When a job is submitted to entry 1
        And entry 0 is cut off after 900 ms until <end> ms, and the job is submitted to it after <second> ms
        Then no task of the job ran twice at the same time, and one entry has done it

        Examples:
            | end  | second |
            | 1900 | 1300   |
            | 1290 | 1300   |
            | 1290 | 2500   |
            | 2500 | 2600   |

    # Guards against an entry that starts a job beside its owner because the announcements did not fit into its socket's buffer while it
    # was frozen.
    Scenario Outline: An entry that was frozen until <end> ms, and has lost the datagrams, gets a job at <second> ms that another one runs
        Given 3 entries, and no datagram is lost
        When a job is submitted to entry 1
        And entry 0 is frozen after 500 ms until <end> ms, and the job is submitted to it after <second> ms
        Then no task of the job ran twice at the same time, and one entry has done it

        Examples:
            | end  | second |
            | 1290 | 1300   |
            | 1800 | 1900   |
            | 2500 | 3000   |

    Scenario: A job that is read without delay starts at once and causes no message
        Given 3 entries, and no datagram is lost
        When a job of short tasks is submitted to entry 0
        Then it is done, and no entry was asked for it
