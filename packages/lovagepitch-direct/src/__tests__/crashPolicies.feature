@direct-policies
Feature: Evidence from crashes of workers

    # Guards against blaming what ran beside a task that crashes its worker.
    Scenario: A task is given up after two crashed workers, on one of which it was without other jobs
        When a worker crashes while it runs "a/1 aged 12, b/0 aged 30, c/0 aged 400"
        Then the jobs are "a suspected, b suspected, c clear"
        When 200 ms later a worker crashes while it runs "a/1 aged 12"
        Then task 1 of job "a" crashes workers
        And the jobs are "a crashing, b clear, c clear"

    # Guards against naming one task of a job for the crash of another one.
    Scenario: Two crashes under different tasks of a job name none of them
        When a worker crashes while it runs "a/1 aged 12, b/0 aged 30"
        And 200 ms later a worker crashes while it runs "a/2 aged 12"
        Then no task crashes workers
        And the jobs are "a isolated, b suspected, c clear"

    # Guards against missing a task that crashes its worker late in its run.
    Scenario: A task that is no likely cause is suspected after its second crashed worker, and named after the third
        When a worker crashes while it runs "a/1 aged 300, b/0 aged 20"
        Then the jobs are "a clear, b suspected, c clear"
        When 500 ms later a worker crashes while it runs "a/1 aged 310, c/0 aged 20"
        Then the jobs are "a suspected, b suspected, c suspected"
        When 500 ms later a worker crashes while it runs "a/1 aged 305"
        Then task 1 of job "a" crashes workers
        And the jobs are "a crashing, b clear, c clear"

    # Guards against blaming a task for two crashes that have nothing to do with it.
    Scenario: A task that had run for different times is given up after three crashed workers
        When a worker crashes while it runs "a/1 aged 2"
        And 500 ms later a worker crashes while it runs "a/1 aged 106"
        Then no task crashes workers
        And the jobs are "a isolated, b clear, c clear"
        When 500 ms later a worker crashes while it runs "a/1 aged 300"
        Then task 1 of job "a" crashes workers

    # Guards against blaming tasks for a rack without power.
    Scenario: Workers that crash together have no likely cause without a job in common
        When a worker crashes while it runs "a/1 aged 12, b/0 aged 30"
        And 3 ms later a worker crashes while it runs "c/0 aged 10, d/0 aged 20"
        Then the jobs are "a clear, b clear, c clear"

    Scenario: Workers that crash together under tasks of one job make that job the likely cause
        When a worker crashes while it runs "a/1 aged 12, b/0 aged 30"
        And 3 ms later a worker crashes while it runs "a/2 aged 10, c/0 aged 20"
        Then the jobs are "a suspected, b clear, c clear"

    # Guards against counting one crash twice that two peers pass on.
    Scenario: A crash that is passed on by several peers counts once
        When a worker crashes while it runs "a/1 aged 12" and its record arrives 3 times
        Then no task crashes workers

    # Guards against a job that fails because its workers refused calls while its runs went on.
    Scenario: Workers that refuse calls make a task suspected, but do not name it
        When a worker is suspected to have crashed while it runs "a/1 aged 12"
        And 500 ms later a worker is suspected to have crashed while it runs "a/1 aged 12"
        And 500 ms later a worker is suspected to have crashed while it runs "a/1 aged 12"
        Then no task crashes workers
        And the jobs are "a isolated, b clear, c clear"
        When the crashes turn out to be certain
        Then task 1 of job "a" crashes workers

    Scenario: Nothing is held against a task whose worker answers again
        When a worker is suspected to have crashed while it runs "a/1 aged 12"
        Then the jobs are "a isolated, b clear, c clear"
        When the crashes turn out to be refuted
        Then the jobs are "a clear, b clear, c clear"
        When 500 ms later a worker crashes while it runs "a/1 aged 12"
        Then no task crashes workers

    # Guards against a job that fails, or is kept apart, for what another one under its id has done.
    Scenario: Nothing is held against a job of another route under the same id
        When a worker crashes while it runs "a/1 aged 12"
        Then the job "a" of another route is clear
        When 500 ms later a worker crashes while it runs "a/1 aged 12"
        Then the jobs are "a crashing, b clear, c clear"
        And the job "a" of another route is clear

    # Guards against a late message that takes back what has become known of a crash, and against crashes that are not passed on.
    Scenario Outline: Of a crash that is <first> and then <second>, a peer learns that it is <known>
        When a crash that is <first> turns out to be <second>
        Then a peer learns that it is <known>

        Examples:
            | first     | second    | known     |
            | suspected | certain   | certain   |
            | suspected | refuted   | refuted   |
            | certain   | refuted   | refuted   |
            | certain   | suspected | certain   |
            | refuted   | suspected | refuted   |
            | refuted   | certain   | refuted   |

    # Guards against confining a kind for a single job, a rack, or without another kind to protect.
    Scenario Outline: A kind is confined after <crashes>: <result>
        Then a kind of jobs is <result> after <crashes>

        Examples:
            | crashes                                                   | result       |
            | two crashes 500 ms apart under different jobs of it       | confined     |
            | two crashes 500 ms apart under the same job of it         | not confined |
            | two crashes 5 ms apart under different jobs of it         | not confined |
            | two crashes 9000 ms apart under different jobs of it      | not confined |
            | two crashes 500 ms apart, both beside another likely kind | not confined |
            | two crashes 500 ms apart without another kind             | not confined |

    # Guards against a kind that crashes one worker after the other, because jobs of others have started beside each of its own.
    Scenario Outline: Of crashes under <crashes>, the only kind that may have caused all is confined: <confined>
        When workers crash one after the other under <crashes>
        Then the confined kinds are <confined>

        Examples:
            | crashes                                           | confined |
            | x and y, x and z                                  | x        |
            | x and y, x and y, x and z                         | x        |
            | x and y and z, x and y and z, x and y, x and z    | x        |
            | x and y, x and y, x and y                         | none     |
            | x and y, x and z, y and z                         | x        |
            | x and y, z                                        | none     |
            | x and y, x                                        | x        |

    # Guards against a kind that stays confined although one of the crashes that ruled the others out was none.
    Scenario: A kind that was confined because the others are ruled out is released when one of the workers answers again
        When workers crash one after the other under x and y, x and z
        And the worker that crashed first answers again
        Then the confined kinds are none

    # Guards against jobs that are refused because workers refused calls and ran on.
    Scenario Outline: Two workers of a kind refuse calls, and <refuted> of them answer again: <result>
        When two workers with jobs of one kind refuse calls
        And <refuted> of these workers answer again
        Then the kind of these jobs is <result>

        Examples:
            | refuted | result       |
            | 0       | confined     |
            | 1       | not confined |
            | 2       | not confined |

    # Guards against an entry that refuses jobs as those of a confined kind although no worker has crashed.
    Scenario: An entry releases a kind whose workers refused calls and answer again
        Given an entry with 4 workers that serves jobs of two kinds
        When two of its workers refuse calls, 500 ms apart, soon after the start of jobs of one kind
        Then the entry has confined that kind
        When both workers answer again
        Then the entry has released that kind

    # Guards against a refutation that takes back what other crashes of the kind have shown.
    Scenario: A kind under which three workers crashed stays confined when one of them answers again
        When a kind of jobs is confined
        And one of its jobs crashes a worker
        And the worker that crashed first answers again
        Then it is still confined 2900 ms after its latest crash

    # Guards against a refutation that releases a kind whose earlier crashes are too old to confine it again.
    Scenario: A confined kind stays so when a worker refuses calls 8 s later and answers again
        When a kind of jobs is confined
        And a worker with one of its jobs refuses calls 8000 ms later and answers again
        Then the kind of these jobs is confined

    # Guards against releasing a kind that had no crash only because it did not run.
    Scenario: A confined kind is released after 3 s with runs and without a crash, and one crash soon after confines it again
        When a kind of jobs is confined
        Then it is still confined 3000 ms after its latest crash
        When 20 of its runs succeed
        Then it is still confined 2900 ms after its latest crash
        And it is released 3000 ms after its latest crash
        And one crash 10000 ms later confines it again

    # Guards against a kind of which few jobs crash workers being served one job at a time.
    Scenario: The fewer jobs of a confined kind crash workers, the more of them share one
        When a kind of jobs is confined
        Then 1 of its jobs may share a worker
        When 20 of its jobs are done
        Then 11 of its jobs may share a worker
        When one of its jobs crashes a worker
        Then 5 of its jobs may share a worker

    Scenario: A third of the workers, at least one, is kept for jobs that may crash them, and crashed ones come first
        Then of 11 workers 4 are kept, of 2 workers 1, and of 1 worker none
        And a worker that has crashed is among those kept
