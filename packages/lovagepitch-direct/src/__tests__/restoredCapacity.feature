@direct-policies
Feature: Records of workers whose age is not known

    An agent that restarts reads the record of its worker. The earlier process may have heard since that the worker has less capacity or
    drains, and may not have been able to record it, as the store was away.

    Scenario: A restored worker gets tasks at once when it accepts the agent's epoch
        Given an agent that has restored a worker of 16 cores, which accepts its epoch
        When an entry orders a task of 16 cores from the restored worker
        Then the task is started

    # Guards against workers that are filled by the capacity that they had before it shrank (review, case 4).
    Scenario: A restored worker that has rejected the agent's epoch gets no task before its report
        Given an agent that has restored a worker of 16 cores, which rejects its epoch once
        When an entry orders a task of 1 cores from the restored worker
        Then the task is not started
        When the worker reports a capacity of 8 cores
        And an entry orders a task of 9 cores from the restored worker
        Then the task is not started
        When an entry orders a task of 8 cores from the restored worker
        Then the task is started

    Scenario Outline: An agent whose worker <change> makes the worker reject the epoch of the next process
        Given an agent of a worker that started at <start>
        When the worker <change>, and 300 ms pass
        Then the worker <result> the first epoch of a process that starts <later> ms later

        Examples:
            | change                        | start   | later | result  |
            | reports less capacity         | 5000000 | 250   | rejects |
            | reports less capacity         | 5000000 | 20000 | rejects |
            | reports less capacity         | unknown | 250   | rejects |
            | reports less capacity         | unknown | 20000 | rejects |
            # Guards against tasks on a worker whose draining was not recorded.
            | reports that it drains        | 5000000 | 250   | rejects |
            | reports more capacity         | 5000000 | 250   | accepts |
            | reports the same capacity     | 5000000 | 250   | accepts |

    Scenario Outline: A restored worker is filled up to the smaller one of the recorded capacity and that which an entry has heard
        Given an agent that has restored a worker of 16 cores, which <answers> its epoch once
        When an entry names a capacity of <named> cores
        And an entry orders a task of <task> cores from the restored worker
        Then the task is <result>

        Examples:
            | answers | named | task | result      |
            | rejects | 8     | 9    | not started |
            | rejects | 8     | 8    | started     |
            | rejects | 32    | 17   | not started |
            | rejects | 32    | 16   | started     |
            | accepts | 8     | 9    | not started |
            | accepts | 8     | 8    | started     |

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
