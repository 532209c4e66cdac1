Feature: Loop that runs the ticks of a core

    Scenario: A tick that has moved further off is not run at its earlier instant
        Given a tick loop whose core wants to wake in 20 ms
        When an input moves the wake to 600 ms later
        Then after 150 ms the core has run 2 ticks
        And after 800 ms the core has run 3 ticks

    Scenario: A tick that has moved closer is run at its new instant
        Given a tick loop whose core wants to wake in 5000 ms
        When an input moves the wake to 20 ms later
        Then after 800 ms the core has run 3 ticks

    Scenario: The delay of a late timer is reported once
        Given a tick loop whose core wants to wake in 5000 ms
        When an input moves the wake to 5 ms later and the process is busy for 60 ms from then on
        Then the loop reports a delay of at least 40 ms, and less than 40 ms afterwards

    Scenario: An input that is not urgent waits for the next tick
        Given a tick loop whose core wants to wake in 100 ms
        When an input that is not urgent arrives
        Then after 1 ms the core has run 1 ticks
        And after 300 ms the core has run 2 ticks
