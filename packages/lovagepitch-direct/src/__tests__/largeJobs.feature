@direct-policies
Feature: Jobs of hundreds of tasks at one worker

    Load pattern: jobs of up to 820 small tasks come at once, and all of their tasks fit on a few workers. An agent may have a part of
    a core. Orders that it has sent are bounded by what its worker has answered.

    # Guards against agents that send all orders of a large job at once and stay busy for good with those that time out (review, case 1).
    Scenario Outline: A job of <tasks> tasks is started with at most 16 orders unanswered at a time
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the <tasks> tasks of a job
        And 2000 ms pass with these orders
        Then at most 16 start orders were unanswered at a time
        And each of the <tasks> tasks was ordered once and runs

        Examples:
            | tasks |
            | 300   |
            | 820   |
            | 3000  |

    # Guards against small jobs that wait for all tasks of a large one.
    Scenario: A small job is started while a large one waits for its orders
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the 820 tasks of a job
        And 10 ms pass with these orders
        And an entry orders 2 tasks of another job
        And 60 ms pass with these orders
        Then both tasks of the other job run

    # Guards against agents that spend all their time on repeating stops (review, case 1).
    Scenario: Stops without an answer are repeated at a bounded rate
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the 300 tasks of a job
        And 500 ms pass with these orders
        And the worker answers no stop, and the entry stops the job
        And 1000 ms pass with these orders
        Then at most 16 stop orders were unanswered at a time
        When the worker answers each order again
        And 1000 ms pass with these orders
        Then all runs have ended

    Scenario: Stops of one run without an answer are sent less and less often
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the 1 tasks of a job
        And 20 ms pass with these orders
        And the worker answers no stop, and the entry stops the job
        And 400 ms pass with these orders
        Then 4 stop orders were sent

    Scenario: Tasks that were not ordered from the worker yet are not started once their entry stops the job
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the 300 tasks of a job
        And the entry stops the job
        Then 284 tasks are reported as not started
        And 16 start orders were sent

    Scenario: Tasks that were not ordered yet return to their entry when the worker does not respond
        Given an agent whose worker answers each order after 5 ms
        When the worker answers nothing
        And an entry orders the 300 tasks of a job
        And 500 ms pass with these orders
        Then at most 160 start orders were sent, and the other tasks are reported as not started

    # Guards against runs that the worker never knew and that stay in the agent's table for good (review, case 1).
    Scenario: A run that the worker never knew ends although no stop of it is answered
        Given an agent whose worker answers each order after 5 ms
        When the worker answers no order, but views
        And an entry orders the 1 tasks of a job
        And 4000 ms pass with these orders
        Then 0 tasks are reported as not started
        When 2000 ms pass with these orders
        Then 1 tasks are reported as not started

    Scenario: The run time of a task does not include the time until it was ordered from the worker
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the 300 tasks of a job
        And 150 ms pass with these orders
        And the entry stops the job
        And 300 ms pass with these orders
        # 300 orders and 300 stops take 94 ms each; the last order is sent after 89 ms, and its task ends 244 ms after the arrival.
        Then a task that was ordered last is reported with a run time below 170 ms

    # Guards against runs that are taken for lost because a view lists 500 ends and the worker has more.
    Scenario: A run that is not in a list of ends that may be incomplete goes on
        Given an agent whose worker answers each order after 5 ms
        When an entry orders the 2 tasks of a job
        And 20 ms pass with these orders
        And a view lists neither of them, and says that there may be more ends
        Then no end is reported
        When the next view lists both as succeeded
        Then both tasks are reported as succeeded
