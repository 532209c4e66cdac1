@direct-policies
Feature: Views of the worker

    Load pattern: the tasks of a job start together, take about as long, and end within a few milliseconds of each other.

    Scenario: Ends that follow an end within a few milliseconds share a view call
        Given an agent whose view has reported an end
        Then no view call is sent within 3 ms
        And a view call is sent within 4 ms

    Scenario: A view without an end is followed by the next one at once
        Given an agent whose view has reported no end
        Then a view call is sent within 0 ms

    # Guards against runs that are given up while a start order that was sent late keeps the worker's lease.
    Scenario: The lease of a worker whose agent was paused lasts as long as the latest start order may
        Given an agent whose view call gets no answer for 500 ms and which then orders another start
        When its calls fail for 300 ms
        Then no run of the silent worker has been reported as lost
        When its calls fail for 20 ms
        Then 2 runs of the silent worker have been reported as lost
