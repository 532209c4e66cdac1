@direct-policies
Feature: An agent does not extend the worker's lease while a run that has to end goes on

    An entry counts on the end of its runs 1,274 ms after it has heard from the agent: 500 ms of its lease, 60 ms of
    reaction, 714 ms of the worker's lease.

    Background:
        Given an agent whose worker runs the tasks "a1, a2" of an entry

    Scenario Outline: The entry falls silent and the worker <answer> the stops
        When the entry is silent for 3000 ms, and the worker, which lists both runs, <answer> stops
        Then no lease lasts longer than 1260 ms after the entry was last heard

        Examples:
            | answer  |
            | rejects |
            | accepts |
            | ignores |

    Scenario Outline: The entry stops a run, is heard all the while, and the worker <answer> the stop
        When the entry stops "a1" and is heard for 1500 ms, and the worker, which lists both runs, <answer> stops
        Then no lease lasts longer than 760 ms after the stop was requested

        Examples:
            | answer  |
            | rejects |
            | accepts |
            | ignores |

    Scenario: The lease is extended again once the run that has to end has gone
        When the entry stops "a1" and is heard for 300 ms, and the worker, which lists both runs, rejects stops
        And the worker lists only "a2" and confirms the stop of "a1"
        Then the next view call extends the lease

    Scenario: A stop that the worker executes at once costs no extension
        When the entry stops "a1" and is heard for 40 ms, and the worker, which lists both runs, accepts stops
        And the worker lists only "a2" and confirms the stop of "a1"
        Then every view call extended the lease

    Scenario: A stop that arrives after the lease of the entry has expired counts from that instant
        When the entry is silent for 540 ms, and then stops "a1" before the agent has noticed
        And the worker, which lists both runs, rejects stops for 1500 ms while the entry is heard
        Then no lease lasts longer than 1260 ms after the entry was last heard

    # A start extends the lease by 300 ms: 306 ms on a slow clock.
    Scenario: Nothing starts when that would extend the lease too far
        When the entry stops "a1" and is heard for 470 ms, and the worker, which lists both runs, rejects stops
        And the entry orders the start of "a3"
        Then "a3" is reported as not started, and no start of it was ordered
        And the entry is told that the worker accepts no tasks
        And the next view call may wait for an end

    Scenario: Tasks start while a stop takes a little longer
        When the entry stops "a1" and is heard for 460 ms, and the worker, which lists both runs, rejects stops
        And the entry orders the start of "a3"
        Then exactly one start of "a3" was ordered
        And no lease lasts longer than 774 ms after the stop was requested

    Scenario: A start without an answer is not repeated when that would extend the lease too far
        When the entry stops "a1" and is heard for 465 ms, and the worker, which lists both runs, rejects stops
        And the entry orders the start of "a3"
        And the entry is heard for 100 ms, and the worker, which lists both runs, rejects stops
        Then exactly one start of "a3" was ordered

    Scenario: The lease of a run of an earlier process of the agent is never extended
        Given an agent that finds a run of an earlier process
        When the entry is heard for 1500 ms, and the worker, which lists both runs, rejects stops
        Then no view call extended the lease

    # A call without an answer may be executed seconds later. The worker does nothing for an epoch below one that it has seen.
    Scenario: A view call without an answer takes no effect once the worker answers again
        When the worker does not answer a view call that extends the lease
        Then the next view call has a higher epoch and does not extend the lease
        And after its answer the lease is extended with that epoch

    Scenario: A start without an answer takes no effect once the worker answers again
        When the worker does not answer the start of "a3", and answers the view that was asked for before
        Then the next view call has a higher epoch and does not extend the lease
        And after its answer the lease is extended with that epoch

    Scenario: The epoch is raised once while a worker does not respond
        When the worker answers no view call for 2000 ms
        Then the view calls had 2 epochs, and only the first one extended the lease

    Scenario: An order that the agent's own higher epoch has overtaken does not make it refuse tasks
        When the worker does not answer a view call that extends the lease, just after the start of "a3"
        And the start of "a3" is rejected for its epoch, and the worker answers the next view call
        Then "a3" is reported as not started
        And the entry was told all the while that the worker accepts tasks
