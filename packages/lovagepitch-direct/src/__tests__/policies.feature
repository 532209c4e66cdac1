@direct-policies
Feature: Policies for direct jobs under their load patterns

    Scenario Outline: In a mix of short and long tasks, the latest start of a job depends on its own longest task
        Given a route with a stretch of 1.6 and an allowance of 60 ms
        Then a job of <longest> ms tasks can start <slack> ms after its arrival and still end on time

        Examples:
            | longest | slack |
            | 60      | 96    |
            | 200     | 180   |
            | 900     | 600   |

    Scenario: A job does not expire before its longest possible task would be late
        Given a route with a stretch of 1.6 and an allowance of 60 ms
        Then a job of 200 ms tasks expires 2580 ms after its arrival
        And a job of 200 ms tasks whose caller waits 700 ms expires 700 ms after its arrival

    Scenario: A worker that fails every task is paused, receives one trial task, and is used again after a success
        When a worker fails runs of 2 jobs
        Then it may run 0 tasks
        When its pause of 400 ms has passed
        Then it may run 1 task
        When it fails one more run
        And its pause of 800 ms has passed
        Then it may run 1 task
        When a run succeeds
        Then it may run any number of tasks

    Scenario: Failures of a job that also fails on other workers do not count against a healthy worker
        When a worker fails runs of 5 jobs that failed elsewhere
        Then it may run any number of tasks

    Scenario: Entries with the same information do not all choose the same worker
        Then 100 entries that choose among 4 equal workers choose each of them at least 10 times

    Scenario: A worker on trial is the first choice for a task with time to spare, and the last for any other
        Then a task with time to spare goes to a worker on trial
        And a task without time to spare goes to a worker on trial only when no other has capacity

    Scenario Outline: When a burst has filled the workers, callers retry after the waiting work has drained
        Then <work> core-milliseconds that drain at <rate> each millisecond give a retry delay of <seconds> s

        Examples:
            | work   | rate | seconds |
            | 1000   | 100  | 1       |
            | 300000 | 100  | 3       |
            | 900000 | 10   | 10      |
            | 5000   | 0    | 5       |

    Scenario: The drain rate follows the work that ends
        Then 100 core-milliseconds that end each millisecond for 10 s are measured as 100 within 5

    Scenario Outline: Slow and stalled runs are detected from their progress, long runs on healthy workers continue
        Then on a <worker> worker a run of <estimated> ms with <percent> percent after <age> ms, unchanged for <unchanged> ms, is <decision>

        Examples:
            | worker  | estimated | percent | age | unchanged | decision    |
            | healthy | 200       | 60      | 200 | 5         | continued   |
            | healthy | 835       | 6       | 168 | 6         | continued   |
            | healthy | 200       | 50      | 400 | 250       | rescheduled |
            | healthy | 60        | 0       | 40  | 40        | continued   |
            | slow    | 200       | 8       | 100 | 10        | rescheduled |
            | slow    | 200       | 80      | 900 | 10        | continued   |
            | trial   | 200       | 60      | 200 | 5         | continued   |
            | trial   | 200       | 8       | 100 | 10        | rescheduled |

    Scenario: A worker counts as slow only when several runs are slow
        Then runs at 15, 20, 25 and 10 percent of the expected progress make a worker slow
        And runs at 15, 20 and 10 percent of the expected progress do not make a worker slow
        And runs at 70, 40, 30 and 65 percent of the expected progress do not make a worker slow

    Scenario: The longest of several tasks of one kind is expected to exceed the estimate
        Then after 200 run times between 0.5 and 2.5 of the estimate the longest of 1 is expected at 1.0 to 1.6
        And after 200 run times between 0.5 and 2.5 of the estimate the longest of 8 is expected at 2.1 to 2.5
        And before any run time the longest of 8 is expected at 1.0 to 1.0

    Scenario Outline: A graceful shutdown serves callers until the balancer has reacted, then refuses new jobs, then interrupts
        Then <elapsed> ms into a shutdown of 6000 ms with <requests> open requests and <connections> connections the phase is <phase>

        Examples:
            | elapsed | requests | connections | phase        |
            | 100     | 0        | 0           | serving      |
            | 2400    | 0        | 0           | serving      |
            | 2600    | 0        | 0           | complete     |
            | 2600    | 0        | 3           | serving      |
            | 3100    | 2        | 3           | refusing     |
            | 5600    | 1        | 1           | interrupting |
            | 5600    | 0        | 1           | complete     |

    Scenario: Malformed and outdated rows of entries are skipped
        Then of the rows of entries only those that are complete and recent yield an address
