@direct-policies
Feature: Policies of direct jobs under the loads that they answer

    Scenario Outline: A mix of short and long tasks: each job's latest start follows its own longest task
        Given a route with a stretch of 1.6 and an allowance of 60 ms
        Then a job of <longest> ms tasks can start <slack> ms after its arrival and still be on time

        Examples:
            | longest | slack |
            | 60      | 96    |
            | 200     | 180   |
            | 900     | 600   |

    Scenario: A job is never given up before its longest possible task would be late
        Given a route with a stretch of 1.6 and an allowance of 60 ms
        Then a job of 200 ms tasks is given up 2580 ms after its arrival
        And a job of 200 ms tasks whose caller waits 700 ms is given up 700 ms after its arrival

    Scenario: One worker fails everything: it is paused, tried with one task, and used again after a success
        When a worker fails runs of 2 jobs
        Then it may run 0 tasks
        When its pause of 400 ms is over
        Then it may run 1 task
        When it fails one more
        And its pause of 800 ms is over
        Then it may run 1 task
        When it succeeds once
        Then it may run any number of tasks

    Scenario: A bad job on sound workers: its failures are not held against them
        When a worker fails runs of 5 jobs that failed elsewhere
        Then it may run any number of tasks

    Scenario: Several entries with the same view do not all choose the same worker
        Then 100 entries that see 4 equal workers choose each of them at least 10 times

    Scenario: A worker on trial gets a task with time to spare first, and others last
        Then a task with time to spare goes to a worker on trial
        And a task without time to spare goes to a worker on trial only when no other has room

    Scenario Outline: A burst has filled the workers: callers return when the work ahead has drained
        Then <work> core-milliseconds that drain at <rate> each millisecond send callers away for <seconds> s

        Examples:
            | work   | rate | seconds |
            | 1000   | 100  | 1       |
            | 300000 | 100  | 3       |
            | 900000 | 10   | 10      |
            | 5000   | 0    | 5       |

    Scenario: The drain rate follows the work that ends
        Then 100 core-milliseconds that end each millisecond for 10 s are measured as 100 within 5

    Scenario Outline: Slow and stalled tasks are found from progress, long ones on sound workers are left alone
        Then on a <worker> worker a run of <estimated> ms with <percent> percent after <age> ms, unchanged for <unchanged> ms, is <verdict>

        Examples:
            | worker | estimated | percent | age | unchanged | verdict  |
            | sound  | 200       | 60      | 200 | 5         | hopeful  |
            | sound  | 835       | 6       | 168 | 6         | hopeful  |
            | sound  | 200       | 50      | 400 | 250       | hopeless |
            | sound  | 60        | 0       | 40  | 40        | hopeful  |
            | slow   | 200       | 8       | 100 | 10        | hopeless |
            | slow   | 200       | 80      | 900 | 10        | hopeful  |
            | trial  | 200       | 60      | 200 | 5         | hopeful  |
            | trial  | 200       | 8       | 100 | 10        | hopeless |

    Scenario: A worker is slow only when several runs agree
        Then runs at 15, 20, 25 and 10 percent of the expected progress make a worker slow
        And runs at 15, 20 and 10 percent of the expected progress do not make a worker slow
        And runs at 70, 40, 30 and 65 percent of the expected progress do not make a worker slow

    Scenario: Tasks of one kind differ: the longest of many is expected to take longer than the estimate
        Then after 200 run times between 0.5 and 2.5 of the estimate the longest of 1 is expected at 1.0 to 1.6
        And after 200 run times between 0.5 and 2.5 of the estimate the longest of 8 is expected at 2.1 to 2.5
        And before any run time the longest of 8 is expected at 1.0 to 1.0

    Scenario Outline: A planned stop serves until the balancer has noticed, then refuses, then answers what is left
        Then <elapsed> ms into a stop of 6000 ms with <requests> open requests and <connections> connections it is <phase>

        Examples:
            | elapsed | requests | connections | phase        |
            | 100     | 0        | 0           | serving      |
            | 2400    | 0        | 0           | serving      |
            | 2600    | 0        | 0           | over         |
            | 2600    | 0        | 3           | serving      |
            | 3100    | 2        | 3           | refusing     |
            | 5600    | 1        | 1           | interrupting |
            | 5600    | 0        | 1           | over         |

    Scenario: Rows of other writers name no entry, the others hold
        Then of the rows of entries only those that are complete and recent name an entry
