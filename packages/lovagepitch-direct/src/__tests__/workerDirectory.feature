@direct-policies
Feature: Recorded worker of an agent

    A restarted agent uses the worker that its predecessor recorded, unless that worker drains. A record of a worker
    that has ended is harmless: no other incarnation accepts a call that names it.

    Scenario: A restarted agent restores the worker of its predecessor
        Given an agent that has recorded worker "life-1"
        Then a restarted process of the agent restores "life-1"

    Scenario: A worker that drains is not restored
        Given an agent that has recorded worker "life-1"
        When the agent records that no worker may be restored
        Then a restarted process of the agent restores no worker

    Scenario: A delayed write of a worker does not undo that the worker drains
        Given an agent whose next write to the store is delayed
        When the agent records worker "life-1"
        And the agent records that no worker may be restored
        And the delayed write takes effect
        Then a restarted process of the agent restores no worker

    Scenario: A worker that drains is removed once the store answers again
        Given an agent that has recorded worker "life-1"
        When the store stops answering
        And the agent records that no worker may be restored while the store is down
        And the store answers again
        Then a restarted process of the agent restores no worker

    Scenario: An agent without a reachable store restores no worker
        Given an agent that has recorded worker "life-1"
        When the store stops answering
        Then a restarted process of the agent restores no worker

    Scenario: A restarted agent whose worker is unchanged writes nothing
        Given an agent that has recorded worker "life-1"
        Then a restarted process that records worker "life-1" writes nothing

    Scenario Outline: A row of another writer names no worker
        Then the row <row> names no worker

        Examples:
            | row                                                                                          |
            | null                                                                                         |
            | 7                                                                                            |
            | "life-1"                                                                                     |
            | {}                                                                                           |
            | {"id":"a","startedAt":"1","service":"s","labels":[],"capacity":{"milliCores":1,"memoryMegabytes":1,"accelerators":0}} |
            | {"id":"a","startedAt":-1,"service":"s","labels":[],"capacity":{"milliCores":1,"memoryMegabytes":1,"accelerators":0}} |
            | {"id":"life-1","service":"s","labels":[]}                                                    |
            | {"id":1,"service":"s","labels":[],"capacity":{"milliCores":1,"memoryMegabytes":1,"accelerators":0}} |
            | {"id":"a","service":"s","labels":[2],"capacity":{"milliCores":1,"memoryMegabytes":1,"accelerators":0}} |
            | {"id":"a","service":"s","labels":[],"capacity":{"milliCores":"1","memoryMegabytes":1,"accelerators":0}} |
