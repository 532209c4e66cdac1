@direct-policies
Feature: A worker that starts again under its id

    A worker that restarts may keep its id. It then knows nothing of its former life, and its clock and its numbers begin
    anew. Orders for the former life may reach the later one, and messages of the former life may arrive late.

    Background:
        Given an agent whose worker has started at 1000 with run "a" running, run "b" ordered and 5 ends acknowledged

    Scenario: A view of the later life that arrives before its report begins it
        When the worker that has started at 2000 answers the view with runs ""
        Then the next view call has a higher epoch and acknowledges no end
        And no end has been reported
        When the worker that has started at 2000 answers the view with runs ""
        Then the ends "a lost, b lost" have been reported
        And the worker accepts no tasks
        When the worker that has started at 2000 reports as number 1
        Then the worker accepts tasks
        And the latest record names the start 2000

    Scenario: An order for the former life that the later one has executed continues
        When the worker that has started at 2000 reports as number 1
        And the worker that has started at 2000 answers the view with runs "b"
        Then the ends "a lost" have been reported
        When the worker that has started at 2000 lists run "b" as succeeded with number 1
        Then the ends "a lost, b succeeded" have been reported

    Scenario: A start order for the former life is not repeated, and its answer decides nothing
        When the worker that has started at 2000 reports as number 1
        And the former life's answer to the start order of "b" is "rejected"
        And 30 ms pass for the worker's agent
        Then the start of "b" was ordered once
        And no end has been reported
        When the worker that has started at 2000 answers the view with runs "b"
        Then the ends "a lost" have been reported

    Scenario: A start that was revoked before the worker started again is not reported as not started
        When the answer to the start order of "b" is lost, and the next view lists only "a"
        And the worker that has started at 2000 reports as number 1
        And the worker that has started at 2000 answers the view with runs ""
        Then the ends "a lost, b lost" have been reported

    Scenario: A list of the former life that arrives late is ignored
        When the worker that has started at 2000 reports as number 1
        And the earlier view call is answered by the life that started at 1000 with runs "a"
        And the worker that has started at 1000 answers the view with runs "a"
        Then no end has been reported
        When 40 ms pass for the worker's agent
        And the worker that has started at 2000 answers the view with runs "b"
        Then the ends "a lost" have been reported

    Scenario: A report of the former life that arrives late is ignored
        When the worker that has started at 2000 reports as number 1
        And the worker that has started at 2000 answers the view with runs "b"
        And the worker that has started at 1000 reports as number 90 that it drains
        Then the worker accepts tasks
        And the latest record names the start 2000

    Scenario: The announcement of the former life's end is ignored when it arrives late
        When the worker that has started at 2000 reports as number 1
        And the worker that has started at 2000 answers the view with runs "b"
        And the worker announces its end without its start
        And the worker that has started at 1000 announces its end
        Then the ends "a lost" have been reported

    # Guards against runs that are given up while the process of a worker that has announced its end still runs.
    Scenario: A worker that announces its end keeps its runs until their lease has expired, and gets no tasks
        When the worker that has started at 2000 reports as number 1
        And the worker that has started at 2000 answers the view with runs "b"
        And the worker that has started at 2000 announces its end
        Then the ends "a lost" have been reported
        And the worker accepts no tasks
        When the worker that has started at 2000 lists run "b" as succeeded with number 1
        Then the ends "a lost, b succeeded" have been reported

    Scenario: The runs of a worker that does not answer after its announced end are lost with their lease
        When the worker that has started at 2000 reports as number 1
        And the worker that has started at 2000 answers the view with runs "b"
        And the worker that has started at 2000 announces its end
        And all its calls are refused for 1005 ms
        Then the ends "a lost" have been reported
        When all its calls are refused for 15 ms
        Then the ends "a lost, b lost" have been reported

    Scenario: Queued orders and the worker's health begin anew
        When an order "c" is queued for lack of room
        And the worker that has started at 2000 reports as number 1
        Then the ends "c not-started" have been reported

    Scenario: A restarted agent gives no tasks to a worker that has started again since it was recorded
        Given an agent that has restored a worker that started at 1000
        When the worker that has started at 2000 answers the view with runs ""
        And the worker that has started at 2000 answers the view with runs ""
        Then the worker accepts no tasks
        When the worker that has started at 2000 reports as number 1
        Then the worker accepts tasks

    Scenario: A restarted agent stops what it finds at a worker that has started again since it was recorded
        Given an agent that has restored a worker that started at 1000
        When the worker that has started at 2000 answers the view with runs ""
        And the worker that has started at 2000 answers the view with runs "a"
        Then run "a" is ordered to stop, and the worker accepts no tasks
        When the worker that has started at 2000 reports as number 1
        And the worker confirms the stop of "a" and lists no run
        Then the worker accepts tasks

    Scenario: A restarted agent excludes orders that an earlier process sent to a former life
        Given an agent without a record whose worker has started at 1000
        And a later process of the agent whose worker has started at 9000 and whose clock shows 50 ms
        Then its epoch is higher than that of the earlier process

    Scenario: A worker that does not say when it started is used as before
        Given an agent whose worker does not say when it started
        When the worker answers the view without a start
        Then the worker accepts tasks
