@direct
Feature: Tasks that crash their workers

    A worker that has crashed is back after 3.2 s under a new id. Every scenario ends with the guarantees of direct jobs; one of
    them is that a task is not started three times more after three workers have crashed under it.

    Background:
        Given 2 entries and 6 workers whose tasks may crash them

    # Guards against a task that takes down one worker after the other, because no one counts its lost runs.
    Scenario: A task that crashes its workers is given up after at most three of them
        When 10 harmless jobs arrive within 300 ms
        And a job with a crashing task arrives at entry 0
        And 60 harmless jobs arrive within 3000 ms
        And 6000 ms pass, and callers send interrupted jobs again at the other entry
        Then the crashing job has failed, and its tasks crashed at most 3 workers
        And every harmless job was done
        And the guarantees hold after the crashes

    # Guards against a task whose history is forgotten when its job is sent again.
    Scenario: A job with a crashing task that is sent again is not started again
        When a job with a crashing task arrives at entry 0
        And 8000 ms pass, and callers send interrupted jobs again at the other entry
        And the crashing job is sent again 6 times, at both entries in turn
        Then the crashing job has failed, and its tasks crashed at most 3 workers
        And its last 6 answers came within 20 ms
        And the guarantees hold after the crashes

    # Guards against evidence that is lost with the entry that held the job.
    Scenario: A crashing task is known after its entry was killed
        When a job with a crashing task arrives at entry 0
        And 150 ms pass for the crashing workers
        And entry 0 is killed, its callers send their jobs to entry 1, and it restarts after 500 ms
        And 8000 ms pass, and callers send interrupted jobs again at the other entry
        Then the crashing job has failed, and its tasks crashed at most 3 workers
        And the guarantees hold after the crashes

    # Guards against evidence that is lost with the agent of the crashed worker.
    Scenario: A crashing task is known after the agents of its workers were killed
        When a job with a crashing task arrives at entry 0
        And 150 ms pass for the crashing workers
        And the agents of crashed workers are killed and restart after 300 ms
        And 8000 ms pass, and callers send interrupted jobs again at the other entry
        Then the crashing job has failed, and its tasks crashed at most 3 workers
        And the guarantees hold after the crashes

    # Guards against restricting a job to workers that lack the label it requires.
    Scenario: A suspected job that only some workers may run is tried on these
        Given 2 entries and 6 workers of two kinds whose tasks may crash them
        When 8 harmless jobs for the first kind of workers arrive within 500 ms
        And worker 0 crashes for another cause
        And 8 harmless jobs for the first kind of workers arrive within 500 ms
        And 8000 ms pass, and callers send interrupted jobs again at the other entry
        Then every harmless job was done
        And the guarantees hold after the crashes

    # Guards against blaming tasks for a rack that fails.
    Scenario: No task is blamed when workers crash for another cause
        When 20 harmless jobs arrive within 500 ms
        And workers 0, 1 and 2 crash for another cause
        And 40 harmless jobs arrive within 2000 ms
        And 6000 ms pass, and callers send interrupted jobs again at the other entry
        Then every harmless job was done
        And the guarantees hold after the crashes

    # Guards against runs that are waited for longer than their lease, and against a worker that waits for its next report. The bound
    # is that of the worker's lease on a clock that is 2% slow, and the allowance for reactions.
    Scenario: What ran beside a crash starts again when its lease has expired, and a worker that is back is used at once
        When 20 harmless jobs arrive within 500 ms
        And workers 0, 1 and 2 crash for another cause
        And 20 harmless jobs arrive within 800 ms
        Then every run of a crashed worker was known to be lost within 774 ms
        When 60 harmless jobs arrive within 3100 ms
        Then the workers that crashed have started tasks within 300 ms of their return
        And the guarantees hold after the crashes

    # Guards against kinds of jobs that crash nothing being refused beside one that crashes all workers.
    Scenario Outline: A kind of jobs that crashes workers leaves the others their workers, seed <seed>
        When a tenth of the urgent jobs of the default mix crash their workers after 10 ms, seed <seed>
        Then at least nine tenths of the usual and the long jobs were done in time
        And every crashing job that was answered has failed or was refused or interrupted
        And no other job has failed
        And the guarantees hold after the crashes

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |

    # Guards against a task that takes workers out of service one after the other without crashing them.
    Scenario: A task that makes no progress on any worker is held against at most one of them for each sending
        When 20 harmless jobs arrive within 600 ms
        And a job with a task that makes no progress arrives at entry 0
        And 60 harmless jobs arrive within 3000 ms
        And 1000 ms pass for the crashing workers
        Then at most 1 worker was paused for each sending of that job
        And every harmless job was done
        And the guarantees hold after the crashes

    # Guards against two runs of a task, starts beyond the budget or the capacity, and blame, when all of this comes together.
    Scenario Outline: Faults in random order with crashing tasks and changing capacities, seed <seed>
        When 20 faults occur in random order with crashing tasks and changing capacities, seed <seed>
        Then the guarantees hold after the crashes

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
            | 9    |
            | 10   |

    # Guards against jobs that are held until their latest start although the few workers for their kind can't serve them.
    Scenario: Jobs of a confined kind that can't be served in time are refused at once
        When a fifth of the long jobs of the default mix crash their workers after 10 ms, seed 1
        Then at least half of the refused long jobs were refused within 100 ms
        And no other job has failed
        And the guarantees hold after the crashes

    # Guards against starts beyond a capacity that has shrunk.
    Scenario: Nothing is started beyond a capacity that has shrunk, also by a restarted agent
        When 20 harmless jobs arrive within 500 ms
        And the capacity of every worker shrinks to 5 cores
        And 40 harmless jobs arrive within 5000 ms
        And every agent is killed and restarts from its record
        And 40 harmless jobs arrive within 1000 ms
        Then the guarantees hold after the crashes

    # Guards against a record from before the capacity shrank, because the store was away when it did.
    Scenario: A restarted agent starts nothing beyond a capacity that has shrunk while its record could not be written
        When 20 harmless jobs arrive within 500 ms
        And the store takes no records
        And the capacity of every worker shrinks to 5 cores
        And 40 harmless jobs arrive within 5000 ms
        And every agent is killed and restarts from its record
        And 40 harmless jobs arrive within 1000 ms
        Then the guarantees hold after the crashes

    # Guards against an agent that acts on a capacity from before it was frozen.
    Scenario: An agent that wakes starts nothing beyond a capacity that has shrunk meanwhile
        When 20 harmless jobs arrive within 500 ms
        And agent 0 is frozen while the capacity of its worker shrinks to 3 cores, and wakes after 5200 ms
        And 40 harmless jobs arrive within 1000 ms
        Then the guarantees hold after the crashes
