@direct
Feature: Direct jobs under faults

    Every scenario ends with the same checks: no task has two runs at the same time, no worker exceeds its capacity,
    a refused job never starts, a job that could be done never counts as failed, and capacity is released again.

    Background:
        Given 2 entries and 4 workers of 16 cores for direct jobs

    Scenario: A light load is served on time
        When 200 direct jobs arrive within 4000 ms
        And 3000 ms pass
        Then every direct job was done
        And the guarantees of direct jobs hold

    Scenario: Excess jobs of a burst are refused immediately, and no refused job starts
        When 400 direct jobs arrive within 200 ms
        And 3000 ms pass
        Then some direct jobs were refused within 300 ms of their arrival
        And at least nine tenths as many direct jobs were done within 400 ms as with a central queue without messages
        And the guarantees of direct jobs hold

    Scenario: In a burst at four entries, urgent jobs are served before less urgent ones
        When four entries and eleven workers receive 1.6 times the default job mix for 6 s
        Then the share of jobs done in time is at least as large for urgent jobs as for usual jobs
        And the guarantees of direct jobs hold

    Scenario: Under a light job mix, no job is refused and no job is late
        When four entries and eleven workers receive 0.6 times the default job mix for 4 s
        Then every job of the mix was done in time
        And the guarantees of direct jobs hold

    Scenario: A start whose response is lost appears in the worker's next view and continues
        When worker 0 drops its responses
        And 40 direct jobs arrive within 2000 ms
        And 2000 ms pass
        Then every direct job was done
        And as many runs were started as there are tasks
        And the guarantees of direct jobs hold

    Scenario: The tasks of a caller that closes its connection are stopped
        When a direct job of long tasks starts
        And its caller closes the connection
        And 200 ms pass
        Then no task of a direct job is running
        And the guarantees of direct jobs hold

    Scenario: The tasks of a killed entry stop before its callers resubmit
        When a direct job of long tasks starts
        And entry 0 is killed
        And 400 ms pass
        Then no task of a direct job is running
        And the guarantees of direct jobs hold

    Scenario: The tasks of a partitioned entry stop before its callers resubmit
        When a direct job of long tasks starts
        And entry 0 is partitioned
        And 1250 ms pass
        And the same direct job arrives at entry 1
        And 6000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: An entry that wakes after a freeze starts no outdated task
        When entry 0 is frozen
        And 40 direct jobs arrive within 100 ms
        And the callers at entry 0 close their connections
        And the same direct jobs arrive at entry 1 after 1300 ms
        And entry 0 wakes
        And 3000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: An agent that wakes after a freeze respects its leases
        When 35 direct jobs arrive within 1000 ms
        And agent 0 is frozen
        And 2500 ms pass
        And agent 0 wakes
        And 3000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: A restarted agent counts the tasks that its predecessor left running
        When a direct job of long tasks starts
        And agent 0 is killed and restarted after 100 ms
        And 60 direct jobs arrive within 300 ms
        And 6000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: A restarted agent starts tasks again
        When 35 direct jobs arrive within 1000 ms
        And agent 0 is killed and restarted after 2000 ms
        And 1000 ms pass
        And 70 direct jobs arrive within 2000 ms
        And 3000 ms pass
        Then worker 0 started some of the latest 70 direct jobs
        And the guarantees of direct jobs hold

    Scenario: Restarted agents use their workers before these report again
        When all agents are killed and restarted, and their workers report later
        And 100 ms pass
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then every direct job was done
        And the guarantees of direct jobs hold

    Scenario: A restarted agent stops the tasks of its predecessor before its worker reports
        When a direct job of long tasks starts
        And agent 0 is killed and restarted after 100 ms, and its worker reports later
        And 60 direct jobs arrive within 300 ms
        And 6000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: Delayed orders of an earlier process start nothing at a restored worker
        When worker 0 executes its orders 900 ms late
        And 35 direct jobs arrive within 500 ms
        And worker 0 executes its orders without delay
        And agent 0 is killed and restarted after 20 ms, and its worker reports later
        And 35 direct jobs arrive within 500 ms
        And 4000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: An agent whose worker has restarted meanwhile waits for the report of the new incarnation
        When agent 0 is killed
        And worker 0 crashes and restarts
        And agent 0 is restarted, and its worker reports later
        And 1700 ms pass
        And 70 direct jobs arrive within 2000 ms
        And 3000 ms pass
        Then worker 0 started some of the latest 70 direct jobs
        And the guarantees of direct jobs hold

    Scenario: A restarted agent does not use a worker that drains
        When worker 0 drains
        And 500 ms pass
        And agent 0 is killed and restarted after 100 ms, and its worker reports later
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then worker 0 started no task after it began to drain
        And the guarantees of direct jobs hold

    Scenario: The tasks of an agent that is not restarted are run by other agents
        When a direct job of long tasks starts
        And agent 0 is killed
        And 6000 ms pass
        Then the guarantees of direct jobs hold
        And every direct job was done

    Scenario: A graceful shutdown of an agent interrupts no run
        When 35 direct jobs arrive within 1000 ms
        And agent 0 shuts down gracefully
        And 3000 ms pass
        Then every direct job was done
        And no run was interrupted
        And the guarantees of direct jobs hold

    Scenario: A worker crashes and restarts under another id
        When 35 direct jobs arrive within 1000 ms
        And worker 0 crashes and restarts
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then the guarantees of direct jobs hold

    Scenario: Orders are executed seconds late
        When worker 0 executes its orders 2500 ms late
        And 35 direct jobs arrive within 1000 ms
        And worker 0 executes its orders without delay
        And 5000 ms pass
        Then the guarantees of direct jobs hold
        And worker 0 has all its capacity free

    Scenario: One call in twenty gets no answer and is executed seconds late
        When one call in 20 to each worker is executed late without an answer
        And 70 direct jobs arrive within 4000 ms
        And 5000 ms pass
        Then every direct job was done
        And every direct job was answered within 60 ms more than its objective
        And the guarantees of direct jobs hold

    Scenario: Responses of a worker are lost
        When worker 0 drops its responses
        And 35 direct jobs arrive within 1000 ms
        And worker 0 sends its responses again
        And 5000 ms pass
        Then the guarantees of direct jobs hold
        And worker 0 has all its capacity free

    Scenario: A partitioned worker keeps running its tasks
        When a direct job of long tasks starts
        And worker 0 is partitioned
        And 6000 ms pass
        Then every direct job was done
        And the guarantees of direct jobs hold

    Scenario: Tasks on one worker make no progress
        When worker 0 stalls
        And a direct job of long tasks starts
        And 6000 ms pass
        Then every direct job was done
        And the guarantees of direct jobs hold

    Scenario: A worker fails every run that it starts
        When worker 0 fails every run
        And 200 direct jobs arrive within 4000 ms
        And 3000 ms pass
        Then every direct job was done
        And at most 40 runs failed
        And the guarantees of direct jobs hold

    Scenario: Bad jobs fail without affecting other jobs
        When 200 direct jobs arrive within 4000 ms, one in 10 of them bad
        And 3000 ms pass
        Then 20 direct jobs failed and the others were done
        And the guarantees of direct jobs hold

    Scenario: All connections become silent
        When 35 direct jobs arrive within 1000 ms
        And all connections between entries and agents become silent
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then at least 60 direct jobs were done
        And the guarantees of direct jobs hold

    Scenario: A draining worker receives no new tasks
        When worker 0 drains
        And 100 ms pass
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then worker 0 started no task after it began to drain
        And every direct job was done
        And the guarantees of direct jobs hold

    Scenario: Tasks that cannot finish on a draining worker are moved before it shuts down
        When a direct job of long tasks starts
        And worker 0 drains and restarts after 1000 ms
        And 4000 ms pass
        Then every direct job was done
        And no run was lost with its worker
        And the guarantees of direct jobs hold

    Scenario Outline: Faults in random order, seed <seed>
        When 20 faults occur in random order under load with seed <seed>
        And 8000 ms pass
        Then the guarantees of direct jobs hold
        And all workers have all their capacity free

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |
            | 6    |
            | 7    |
            | 8    |

    Scenario Outline: Faults in random order, on some seeds with calls that get no answer, seed <seed>
        When 20 faults occur in random order under load with seed <seed>, on some seeds beside calls without an answer
        And 8000 ms pass
        Then the guarantees of direct jobs hold
        And all workers have all their capacity free

        # Seed 2319: a task had started at a worker that then restarted and answered the repeated order.
        Examples:
            | seed |
            | 2221 |
            | 2319 |
            | 2001 |
            | 2002 |
