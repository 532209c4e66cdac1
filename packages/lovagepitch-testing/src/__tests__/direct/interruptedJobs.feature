@direct
Feature: Jobs that an entry interrupts

    An entry that ends a job of which tasks may have started tells the caller that it was interrupted. The caller sends the
    job again to another entry 1,300 ms later, by when nothing of the former submission runs, or to the same process at once. Faults begin at
    several instants around the interruption, with leases that have just been renewed and workers whose clocks are slow.

    # Guards against an interruption that is told to the caller while runs may go on for longer than the caller waits.
    Scenario Outline: No task of an interrupted job runs twice when it is sent to the other entry, its entry's end being <cause> and the fault <fault>
        When a job of long tasks is interrupted by <cause> with the fault <fault>, and sent to entry 1 after 1300 ms
        Then the caller was told of the interruption, nothing of it ran when it was sent again, and no task ran twice
        And entry 1 answered that the job is done

        Examples:
            | cause       | fault          |
            | expiry      | none           |
            | expiry      | cut-off        |
            | expiry      | cut-off-and-refused-stops |
            | expiry      | refused-stops  |
            | expiry      | late-stops     |
            | expiry      | closed-links   |
            | expiry      | lost-stops     |
            | shutdown    | none           |
            | shutdown    | cut-off        |
            | shutdown    | cut-off-and-refused-stops |
            | shutdown    | refused-stops  |
            | shutdown    | late-stops     |
            | shutdown    | closed-links   |
            | shutdown    | lost-stops     |
            | end         | none           |
            | end         | cut-off        |
            | end         | cut-off-and-refused-stops |
            | end         | refused-stops  |
            | end         | late-stops     |
            | end         | closed-links   |
            | end         | lost-stops     |
            | replacement | none           |
            | replacement | cut-off        |
            | replacement | cut-off-and-refused-stops |
            | replacement | refused-stops  |
            | replacement | late-stops     |
            | replacement | closed-links   |
            | replacement | lost-stops     |

    # Guards against runs of the next submission beside those of the interrupted one, which are still being stopped.
    Scenario Outline: No task of an interrupted job runs twice when it is sent to the same process at once, with the fault <fault>
        When a job of long tasks is interrupted by expiry with the fault <fault>, and sent to entry 0 after 0 ms
        Then the caller was told of the interruption, and no task ran twice

        Examples:
            | fault         |
            | none          |
            | cut-off       |
            | cut-off-and-refused-stops |
            | refused-stops |
            | late-stops    |
            | closed-links  |
            | lost-stops    |
