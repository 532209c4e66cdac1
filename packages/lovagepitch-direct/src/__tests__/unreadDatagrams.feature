@direct-policies
Feature: Datagrams that are read after the requests that came later

    The event loop reads 32 datagrams in a turn. After a delay more of them wait, and the announcement of a job may be among those that
    are read after the job.

    # Guards against an entry that starts a job beside its owner because it reads the job before its announcement (issue 44).
    Scenario: A job is not placed before the datagrams that came before it have been read
        Given an entry with an idle worker and 32 datagrams of another entry
        When a job and these datagrams are read in one turn
        And the announcement of the job is read in the next one
        Then no task of the job was started, and the other entry is asked for its release

    Scenario: A job is placed when all datagrams have been read
        Given an entry with an idle worker and 32 datagrams of another entry
        When a job and these datagrams are read in one turn
        And nothing is read in the next one
        Then the task of the job was started

    Scenario: A job is placed although datagrams arrive faster than they are read
        Given an entry with an idle worker and 32 datagrams of another entry
        When a job and these datagrams are read in one turn
        And as many are read in each turn for 80 ms
        Then the task of the job was started
