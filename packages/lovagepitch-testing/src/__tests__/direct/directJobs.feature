@direct
Feature: Direct jobs under faults

    Every scenario ends with the same promises: no task runs twice at once, no worker holds more than its capacity,
    a refused job never starts, a job that could be done never counts as failed, and capacity comes back.

    Background:
        Given 2 entries and 4 workers of 16 cores for direct jobs

    Scenario: A calm load is served on time
        When 200 direct jobs arrive within 4000 ms
        And 3000 ms pass
        Then every direct job was done
        And the promises of direct jobs hold

    Scenario: A burst is refused at once, and nothing that was refused starts
        When 400 direct jobs arrive within 200 ms
        And 3000 ms pass
        Then some direct jobs were refused within 300 ms of their arrival
        And at least nine tenths as many direct jobs were done within 400 ms as with one queue without messages
        And the promises of direct jobs hold

    Scenario: In a burst at four entries, urgent jobs are served before less urgent ones
        When four entries and eleven workers get 1.6 times their usual mix of jobs for 6 s
        Then as large a share of the urgent jobs was done in time as of the usual ones
        And the promises of direct jobs hold

    Scenario: In a calm mix nothing is refused and nothing is late
        When four entries and eleven workers get 0.6 times their usual mix of jobs for 4 s
        Then every job of the mix was done in time
        And the promises of direct jobs hold

    Scenario: A start whose answer is lost is found in the next view and goes on
        When worker 0 loses its answers
        And 40 direct jobs arrive within 2000 ms
        And 2000 ms pass
        Then every direct job was done
        And as many runs were started as there are tasks
        And the promises of direct jobs hold

    Scenario: A caller that leaves has its tasks stopped
        When a direct job of long tasks starts
        And its caller leaves
        And 200 ms pass
        Then no task of a direct job is at work
        And the promises of direct jobs hold

    Scenario: The tasks of a killed entry stop before its callers come again
        When a direct job of long tasks starts
        And entry 0 is killed
        And 400 ms pass
        Then no task of a direct job is at work
        And the promises of direct jobs hold

    Scenario: The tasks of an entry that is cut off stop before its callers come again
        When a direct job of long tasks starts
        And entry 0 is cut off
        And 1250 ms pass
        And the same direct job arrives at entry 1
        And 6000 ms pass
        Then the promises of direct jobs hold

    Scenario: An entry that wakes from a freeze starts nothing that is out of date
        When entry 0 is frozen
        And 40 direct jobs arrive within 100 ms
        And the callers at entry 0 leave
        And the same direct jobs arrive at entry 1 after 1300 ms
        And entry 0 wakes
        And 3000 ms pass
        Then the promises of direct jobs hold

    Scenario: An agent that wakes from a freeze goes on with its leases in mind
        When 35 direct jobs arrive within 1000 ms
        And agent 0 is frozen
        And 2500 ms pass
        And agent 0 wakes
        And 3000 ms pass
        Then the promises of direct jobs hold

    Scenario: A restarted agent counts what its predecessor left running
        When a direct job of long tasks starts
        And agent 0 is killed and started again after 100 ms
        And 60 direct jobs arrive within 300 ms
        And 6000 ms pass
        Then the promises of direct jobs hold

    Scenario: A restarted agent starts tasks again
        When 35 direct jobs arrive within 1000 ms
        And agent 0 is killed and started again after 2000 ms
        And 1000 ms pass
        And 70 direct jobs arrive within 2000 ms
        And 3000 ms pass
        Then worker 0 started some of the latest 70 direct jobs
        And the promises of direct jobs hold

    Scenario: An agent that stays away has its tasks done elsewhere
        When a direct job of long tasks starts
        And agent 0 is killed
        And 6000 ms pass
        Then the promises of direct jobs hold
        And every direct job was done

    Scenario: A planned stop of an agent breaks no work off
        When 35 direct jobs arrive within 1000 ms
        And agent 0 shuts down as planned
        And 3000 ms pass
        Then every direct job was done
        And no run was broken off
        And the promises of direct jobs hold

    Scenario: A worker that crashes and returns under another id
        When 35 direct jobs arrive within 1000 ms
        And worker 0 crashes and returns
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then the promises of direct jobs hold

    Scenario: Orders that are carried out seconds late
        When worker 0 carries its orders out 2500 ms late
        And 35 direct jobs arrive within 1000 ms
        And worker 0 carries its orders out at once
        And 5000 ms pass
        Then the promises of direct jobs hold
        And worker 0 has all its capacity free

    Scenario: Answers of a worker are lost
        When worker 0 loses its answers
        And 35 direct jobs arrive within 1000 ms
        And worker 0 answers again
        And 5000 ms pass
        Then the promises of direct jobs hold
        And worker 0 has all its capacity free

    Scenario: A worker is cut off and runs on
        When a direct job of long tasks starts
        And worker 0 is cut off
        And 6000 ms pass
        Then every direct job was done
        And the promises of direct jobs hold

    Scenario: Tasks on one worker stand still
        When worker 0 stalls
        And a direct job of long tasks starts
        And 6000 ms pass
        Then every direct job was done
        And the promises of direct jobs hold

    Scenario: A worker fails everything that it starts
        When worker 0 fails everything
        And 200 direct jobs arrive within 4000 ms
        And 3000 ms pass
        Then every direct job was done
        And at most 40 runs failed
        And the promises of direct jobs hold

    Scenario: Bad jobs fail alone
        When 200 direct jobs arrive within 4000 ms, one in 10 of them bad
        And 3000 ms pass
        Then 20 direct jobs failed and the others were done
        And the promises of direct jobs hold

    Scenario: All connections go silent
        When 35 direct jobs arrive within 1000 ms
        And all connections between entries and agents go silent
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then at least 60 direct jobs were done
        And the promises of direct jobs hold

    Scenario: A draining worker gets nothing new
        When worker 0 drains
        And 100 ms pass
        And 35 direct jobs arrive within 1000 ms
        And 3000 ms pass
        Then worker 0 started nothing since it drains
        And every direct job was done
        And the promises of direct jobs hold

    Scenario: Work that cannot end on a draining worker is moved while there is time
        When a direct job of long tasks starts
        And worker 0 drains and ends after 1000 ms
        And 4000 ms pass
        Then every direct job was done
        And no run was lost with its worker
        And the promises of direct jobs hold

    Scenario Outline: Faults in random order, seed <seed>
        When 20 faults strike in random order under load with seed <seed>
        And 8000 ms pass
        Then the promises of direct jobs hold
        And workers have all their capacity free

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
