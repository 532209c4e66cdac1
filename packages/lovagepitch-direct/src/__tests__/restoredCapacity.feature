@direct-policies
Feature: Records of workers whose age is not known

    An agent that restarts reads the record of its worker. The earlier process may have heard since that the worker has less capacity or
    drains, and may not have been able to record it, as the store was away.

    # Guards against workers that are filled by the capacity that they had before it shrank (review, case 4).
    Scenario: A restored worker gets no task before its report or an entry confirms the record
        Given an agent that has restored a worker of 16 cores, which has answered
        When an entry orders a task of 1 cores from the restored worker
        Then the task is not started
        When the worker reports a capacity of 8 cores
        And an entry orders a task of 9 cores from the restored worker
        Then the task is not started
        When an entry orders a task of 8 cores from the restored worker
        Then the task is started

    Scenario Outline: A restored worker is filled up to the smaller one of the recorded capacity and that which an entry has heard
        Given an agent that has restored a worker of 16 cores, which has answered
        When an entry names a capacity of <named> cores
        And an entry orders a task of <task> cores from the restored worker
        Then the task is <result>

        Examples:
            | named | task | result      |
            | 8     | 9    | not started |
            | 8     | 8    | started     |
            | 32    | 17   | not started |
            | 32    | 16   | started     |

    Scenario Outline: An entry names the capacity of a restored worker <when>
        Given an entry whose agent has reported a worker that <accepts> tasks
        When the agent ends, and the next process of it has restored its worker <milliseconds> ms later
        Then the entry names <named>

        Examples:
            | when                                                   | accepts | milliseconds | named        |
            | that it has lately heard of                            | accepts | 300          | its capacity |
            | only if it has heard of it lately                      | accepts | 2600         | no capacity  |
            # Guards against tasks on a worker whose draining was not recorded.
            | only if it accepted tasks                              | rejects | 300          | no capacity  |

    Scenario: The first frame of a process that does not know its worker yet does not make an entry forget the capacity
        Given an entry whose agent has reported a worker that accepts tasks
        When the next process of its agent says that it knows no worker
        And the agent ends, and the next process of it has restored its worker 300 ms later
        Then the entry names its capacity
