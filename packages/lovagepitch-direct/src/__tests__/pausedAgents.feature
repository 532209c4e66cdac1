@direct-policies
Feature: An agent that was paused does not act on permissions that have expired

    Background:
        Given an agent with a worker and an entry

    # A process can be paused between any two instructions. Its calls to the worker carry instants on the worker's clock, so
    # that the worker ignores one that is sent after a pause, if they were computed from an instant before the pause.
    Scenario Outline: The agent is paused for 900 ms within the tick that <event>
        When the agent is paused for 900 ms at any reading of the clock in the tick that <event>
        Then no order or view call of that tick permits anything 700 ms after the tick began

        Examples:
            | event                       |
            | starts a task               |
            | starts a queued task        |
            | repeats a start             |
            | receives a view with a run  |

    Scenario: A queued order whose time is over is returned after a pause, although there is room
        Given an order of the entry that may wait 30 ms and for which there is no room
        When the agent is paused for 200 ms, and the room is free in the first tick
        Then the queued order is reported as not started, and no start was ordered for it

    Scenario: A queued order of an entry whose lease has expired is returned after a pause
        Given an order of the entry that may wait 5000 ms and for which there is no room
        When the agent is paused for 600 ms, and the room is free in the first tick
        Then the queued order is reported as not started, and no start was ordered for it

    Scenario: A start is not repeated after a pause beyond the lease of its entry
        Given a start order of the entry without an answer
        When the agent is paused for 600 ms, and the worker answers the view that was asked for before
        Then no start was ordered again, and the run is ordered to stop

    Scenario: A view that was answered before a pause renews nothing after it
        Given a run of the entry that the worker has listed
        When the agent is paused for 600 ms, and the worker answers the view that was asked for before
        Then the next view call does not extend the lease

    Scenario: A lease that is computed from an answer that waited during a pause is not too long
        Given a run of the entry that the worker has listed
        When the agent is paused for 300 ms, and the worker answers the view that was asked for before
        Then the next view call extends the lease by at most 700 ms on the worker's clock

    # A worker's clock may be 2 % slow: after 500 ms it shows up to 10 ms less than the agent expects.
    Scenario: A lease that is asked for some time after the worker's clock was read allows for the rate error of that clock
        Given a view with the end of another run, after which the agent does not call the worker at once
        When the agent is paused for 500 ms, and then hears of the entry
        Then the next view call extends the lease by at most 690 ms on the worker's clock

    Scenario: A start that is ordered some time after the worker's clock was read allows for the rate error of that clock
        Given a view with the end of another run, after which the agent does not call the worker at once
        When the agent is paused for 500 ms, and then receives a start order
        Then the start is permitted for at most 290 ms on the worker's clock
