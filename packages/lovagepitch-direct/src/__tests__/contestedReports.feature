@direct-policies
Feature: Reports of another writer under a worker's id

    Another writer may report a service that no configuration names. Its reports are complete otherwise, and their numbers may be
    higher than the worker's own.

    # Guards against a worker that is out of use for good after one such report (review, case 3).
    Scenario Outline: A report with another service changes nothing, and the worker's own count
        Given an agent whose worker has reported 16 cores as number 3
        When another writer reports service "other" and <cores> cores as number <number>, <state>
        And an entry orders a task of 16 cores from that worker
        Then that task is started
        When the worker reports <own> cores as number 4
        And an entry orders a task of 9 cores from that worker
        Then that task is <result>

        Examples:
            | cores | number | state    | own | result      |
            | 16    | 100000 | ready    | 32  | started     |
            | 64    | 100000 | ready    | 24  | not started |
            | 1     | 100000 | ready    | 32  | started     |
            | 16    | 4      | draining | 32  | started     |
            | 16    | 100000 | draining | 32  | started     |

    # Guards against tasks on a worker that drains, because the number of another writer's report was higher.
    Scenario: A worker that drains gets no task after a report of another writer
        Given an agent whose worker has reported 16 cores as number 3
        When another writer reports service "other" and 16 cores as number 100000, ready
        And the worker reports as number 4 that it drains
        And an entry orders a task of 1 cores from that worker
        Then that task is not started

    Scenario Outline: The worker is used again with its second report after two of another writer in a row, <state>
        Given an agent whose worker has reported 16 cores as number 3
        When another writer reports service "other" and 16 cores as number 100000, <state>
        And another writer reports service "other" and 16 cores as number 100001, <state>
        And an entry orders a task of 1 cores from that worker
        Then that task is not started
        When the worker reports 16 cores as number 4
        And the worker reports 16 cores as number 5
        And an entry orders a task of 1 cores from that worker
        Then that task is started

        Examples:
            | state    |
            | ready    |
            | draining |

    Scenario: An agent that has heard another writer first uses the worker with the second one of its reports
        Given an agent that has heard only another writer
        When the worker reports 16 cores as number 4
        And the worker reports 16 cores as number 5
        And an entry orders a task of 1 cores from that worker
        Then that task is started
