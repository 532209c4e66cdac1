@direct-policies
Feature: An agent stops runs that the worker starts late

    Background:
        Given an agent that has ordered a start without an answer and revoked it

    Scenario: A run that the worker lists after the agent has given it up is stopped
        When the worker confirms the stop, and the next view lists no run
        And a later view lists the run
        Then the run is ordered to stop again within 60 ms

    Scenario: A run that the worker still lists long after it has confirmed the stop is stopped again
        When the worker confirms the stop, and views list the run for 400 ms
        Then the run is ordered to stop again within 60 ms
        And its end has not been reported

    Scenario: A run that the worker lists shortly after it has confirmed the stop is left to end
        When the worker confirms the stop, and views list the run for 40 ms
        Then the run is not ordered to stop again

    Scenario: A run that was given up because the worker did not respond is stopped when it is listed
        When the worker answers nothing for 1500 ms
        And a later view lists the run
        Then the run is ordered to stop again within 60 ms

    Scenario: A frame that orders a start and its stop starts nothing
        When a frame orders a start and its stop
        Then that run is reported as not started, and no order was sent for it

    Scenario: A start order without an answer is not repeated once the zone is evacuated
        When a start is ordered, and the zone is evacuated before it is answered
        Then 1 start order was sent for that run within 60 ms
