@direct
Feature: Starts that are executed late, and whose time counts from then, while their agents are away

    A worker may count the time of a start from its execution. If its agent has ended or is paused, no process prevents such
    a start once its epoch is the highest that the worker has seen. These scenarios show for how long its run can go on:
    306 ms after the last start that is executed late, 714 ms after the one view call.

    Background:
        Given 4 workers that execute starts late, refuse stops, and count the time of a start from its execution

    # Guards against runs that outlive the last late start, and overlap with those that entries have started elsewhere for longer.
    Scenario Outline: The agents end for good, and starts are executed <late> ms late
        When starts are executed <late> ms late, and agents 0 and 1 end for good meanwhile
        Then tasks have started late, and none went on for more than 306 ms after the last late start on its worker

        Examples:
            | late |
            | 300  |
            | 1300 |
            | 2500 |

    # Guards against an agent that extends the lease of a run which it finds in its first view.
    Scenario Outline: The agents end, starts are executed <late> ms late, and the agents are back <back> ms after that
        When starts are executed <late> ms late, and agents 0 and 1 end and are back <back> ms after that
        Then tasks have started late, and none went on for more than 306 ms after the last late start on its worker

        Examples:
            | late | back |
            | 300  | 5    |
            | 1300 | 5    |
            | 1300 | 100  |
            | 1300 | 290  |
            | 2500 | 150  |

    # Guards against late starts that take effect after an agent has called the worker with a higher epoch.
    Scenario: Agents that are back before the starts are executed exclude them
        When starts are executed 1300 ms late, and agents 0 and 1 end and are back -200 ms after that
        Then no task has started late

    # Guards against a paused agent that extends the lease of a run for which its entry waits no longer.
    Scenario Outline: The agents are paused, starts are executed <late> ms late, and the agents resume <back> ms after that
        When starts are executed <late> ms late, and agents 0 and 1 are paused and resume <back> ms after that
        Then tasks have started late, and none went on for more than 306 ms after the last late start on its worker

        Examples:
            | late | back |
            | 700  | 5    |
            | 1300 | 5    |
            | 1300 | 290  |
            | 2500 | 150  |

    # Guards against runs in a later life of a worker that outlive the longest lease that it grants. Its clock begins anew, so that the
    # latest start of the order may be far ahead.
    Scenario Outline: The later lives of workers execute starts after <late> ms, and the agents are <back>
        When agents 0 and 1 order starts, and end with their workers, whose later lives execute them after <late> ms; the agents are <back>
        Then tasks have started late, and none went on for more than 1020 ms after the last late start on its worker

        Examples:
            | late | back                 |
            | 300  | gone for good        |
            | 1300 | gone for good        |
            | 2500 | gone for good        |
            | 1300 | back 5 ms after that |
            | 1300 | back 500 ms after that |
            | 2500 | back 900 ms after that |

    # Guards against the belief that 306 ms bound the life of such a run, and against more than one late view call. The one was
    # sent until the answers to the starts were missed, 40 ms after these.
    Scenario: A view call is executed late too
        When agents 0 and 1 end for good after view calls and starts, at any time in between, that are executed 2500 ms late
        Then tasks have started late, and some went on for 307 to 754 ms after the last late start on its worker
