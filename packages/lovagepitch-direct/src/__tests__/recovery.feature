@direct-policies
Feature: Recovery of an agent after all processes have lost power

    Load pattern: every process ends at once and starts again within a second, while callers keep submitting jobs. Each
    entry serves as soon as agents have connected to it, and each agent as soon as it knows its worker.

    Scenario: An entry without power is tried again at short intervals, and soon after it has started
        Given an agent that knows an entry without power
        Then it tries to connect at least 8 times within 1 s

    Scenario: An entry whose process starts again is connected within 60 ms
        Given an agent that knows an entry whose process is starting
        Then it tries to connect at least 15 times within 1 s

    Scenario: An entry that stays away costs one attempt per second
        Given an agent that knows an entry without power
        When 5 s pass for the agent
        Then it tries to connect at most 2 times within 1 s

    Scenario: Orders to a restored worker carry an epoch from the worker's own clock
        Given an agent that has restored a worker
        When the worker answers the first view call, and its clock shows 5000000 ms
        Then the next view call has the epoch of clock unit 4883 and the first one extended no lease

    Scenario: A report that arrives first takes precedence over the restored worker
        Given an agent whose worker "life-2" has reported
        When the agent restores worker "life-1"
        Then it calls only worker "life-2"

    Scenario: A new incarnation of the worker is used at once when the restored one does not answer
        Given an agent that has restored a worker
        When worker "life-2" reports
        Then the latest view call is for worker "life-2"

    Scenario: A restored worker that has ended costs no write to the store while the next one registers
        Given an agent that has restored a worker
        When the worker answers as another incarnation
        Then the agent has recorded nothing

    Scenario: A worker that drains is removed from the record at once
        Given an agent whose worker "life-2" has reported
        When worker "life-2" reports that it drains
        Then the latest record of the agent names no worker

    # Guards against a restarted agent that begins with the capacity that its worker had when it registered.
    Scenario: A capacity that shrinks is recorded at once, one that grows after a while
        Given an agent whose worker "life-1" has reported
        When the worker reports 8 cores
        Then the latest record of the agent has 8 cores
        When the worker reports 12 cores
        Then the latest record of the agent has 8 cores
        When 11 s pass for the agent
        And the worker reports 12 cores
        Then the latest record of the agent has 12 cores
