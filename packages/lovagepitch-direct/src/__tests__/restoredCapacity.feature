@direct-policies
Feature: Capacities of restored workers

    An agent that restarts reads the record of its worker, which has no age. Until the worker reports to it, the agent knows the capacity
    only if an entry names a report to an earlier process that is recent by the worker's clock.

    # Guards against workers that are filled by the capacity of an outdated record (first review, case 4, second review, case 9).
    Scenario Outline: A restored worker gets no task before its report, although it <answers> the agent's epoch
        Given an agent that has restored a worker of 16 cores, which <answers> its epoch once
        When an entry orders a task of 1 cores from the restored worker
        Then the task is not started
        When the worker reports a capacity of 8 cores
        And an entry orders a task of 9 cores from the restored worker
        Then the task is not started
        When an entry orders a task of 8 cores from the restored worker
        Then the task is started

        Examples:
            | answers |
            | accepts |
            | rejects |

    # Guards against tasks on a worker whose draining, or whose smaller capacity, was not recorded.
    Scenario Outline: The next process of an agent whose worker <change> starts nothing by the record from before
        Given an agent of a worker that started at <start>
        When the worker <change>, and 300 ms pass
        Then a process that restores the worker of 16 cores <later> ms later starts no task of 1 core

        Examples:
            | change                        | start   | later |
            | reports less capacity         | 5000000 | 250   |
            | reports less capacity         | 5000000 | 20000 |
            | reports less capacity         | unknown | 250   |
            | reports less capacity         | unknown | 20000 |
            | reports that it drains        | 5000000 | 250   |
            | reports more capacity         | 5000000 | 250   |
            | reports the same capacity     | 5000000 | 250   |

    Scenario Outline: A restored worker is filled up to the smaller one of the recorded capacity and that which an entry has heard
        Given an agent that has restored a worker of 16 cores, which <answers> its epoch once
        When an entry names a capacity of <named> cores, reported <age> ms ago by <reporter>
        And an entry orders a task of <task> cores from the restored worker
        Then the task is <result>

        Examples:
            | answers | named | age  | reporter            | task | result      |
            | rejects | 8     | 0    | the worker          | 9    | not started |
            | rejects | 8     | 0    | the worker          | 8    | started     |
            | rejects | 32    | 0    | the worker          | 17   | not started |
            | rejects | 32    | 0    | the worker          | 16   | started     |
            | accepts | 8     | 0    | the worker          | 9    | not started |
            | accepts | 8     | 0    | the worker          | 8    | started     |
            # A report without an interval between reports is recent for 2,500 ms.
            | accepts | 8     | 2490 | the worker          | 8    | started     |
            | accepts | 8     | 2510 | the worker          | 8    | not started |
            | accepts | 8     | 0    | another worker      | 8    | not started |
            | accepts | 8     | 0    | another life of it  | 8    | not started |

    Scenario: A report that an entry names is no longer recent after a while, however often it is named
        Given an agent that has restored a worker of 16 cores, which accepts its epoch once
        When an entry names a capacity of 8 cores, reported 2000 ms ago by the worker
        And 400 ms pass while the worker answers
        And an entry names a capacity of 8 cores, reported 2400 ms ago by the worker
        And an entry orders a task of 8 cores from the restored worker
        Then the task is started
        When 200 ms pass while the worker answers
        And an entry names a capacity of 8 cores, reported 2600 ms ago by the worker
        And an entry orders a task of 1 cores from the restored worker
        Then the task is not started

    Scenario: The latest one of the reports that entries name counts
        Given an agent that has restored a worker of 16 cores, which accepts its epoch once
        When an entry names a capacity of 4 cores, reported 100 ms ago by the worker
        And an entry names a capacity of 16 cores, reported 1600 ms ago by the worker
        And an entry orders a task of 5 cores from the restored worker
        Then the task is not started

    Scenario Outline: An entry names the capacity of a restored worker <when>
        Given an entry whose agent has reported a worker that <state>
        When the agent ends, and the next process of it has restored its worker <milliseconds> ms later
        Then the entry names <named>

        Examples:
            | when                                             | state         | milliseconds | named                        |
            | with the report that it has heard                | accepts tasks | 300          | its capacity and that report |
            | with that report, however old it is              | accepts tasks | 2600         | its capacity and that report |
            | also if its agent was shutting down              | rejects tasks | 300          | its capacity and that report |
            # Guards against tasks on a worker whose draining was not recorded.
            | only if the agent has named a report to the last | drains        | 300          | no capacity                  |

    # Guards against tasks on a worker whose draining was not recorded.
    Scenario Outline: An agent names the latest report of its worker unless that drains
        Given an agent of a worker that started at 5000000
        When the worker <change>, and 300 ms pass
        Then the agent names <named> to an entry

        Examples:
            | change                    | named             |
            | reports the same capacity | the latest report |
            | reports less capacity     | the latest report |
            | reports that it drains    | no report         |

    Scenario: The first frame of a process that does not know its worker yet does not make an entry forget the capacity
        Given an entry whose agent has reported a worker that accepts tasks
        When the next process of its agent says that it knows no worker
        And the agent ends, and the next process of it has restored its worker 300 ms later
        Then the entry names its capacity and that report

    # Guards against an outdated record that looks recent after a second restart.
    Scenario: What a process has from its record does not replace the capacity that an entry has heard
        Given an entry whose agent has reported a worker that accepts tasks
        When the agent ends, and the next process of it has restored its worker 300 ms later
        And that process ends, and the next one has restored its worker 300 ms later
        Then the entry names its capacity and that report

    Scenario: An agent of an earlier version names no report, and its capacity is not named
        Given an entry whose agent of an earlier version has reported a worker that accepts tasks
        When the agent ends, and the next process of it has restored its worker 300 ms later
        Then the entry names no capacity

    Scenario: An entry answers at once when a connected agent has restored its worker
        Given an entry whose agent has reported a worker that accepts tasks
        When the agent ends, and the next process of it restores its worker 100 ms after it has connected
        Then the entry has named its capacity within 20 ms
