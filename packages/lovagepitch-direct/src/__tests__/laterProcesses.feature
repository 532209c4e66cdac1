@direct-policies
Feature: Two processes of an agent that live at the same time

    A process may go on after its successor has started, because it was paused. The worker does nothing for an epoch below
    the highest that it has seen, so two processes must not hold the same epoch, and one of them has to give way.

    # Guards against two processes that hold one epoch, so that the worker accepts the orders of both.
    Scenario Outline: Two processes that learn of a worker <kind> at the same time hold different epochs
        When 40 processes learn of a worker <kind> at the same time
        Then at most 2 of them hold the same epoch, and most hold one of their own

        Examples:
            | kind                            |
            | that reports its start          |
            | that does not report its start  |

    Scenario Outline: A process that starts <later> ms later has an epoch above that of its predecessor, at a worker <kind>
        When a process learns of a worker <kind>, raises its epoch for 20 late calls, and another process starts <later> ms later
        Then the epoch of the later process is higher, and a safe integer

        Examples:
            | kind                            | later   |
            | that reports its start          | 200     |
            | that reports its start          | 900000  |
            | that does not report its start  | 2100    |
            | that does not report its start  | 3000000 |

    # Guards against agents of this version whose orders a worker rejects because it has seen those of the one before.
    Scenario Outline: The epoch is above that of the earlier version in the same life of a worker <kind>
        Then an epoch is above that of version 8d7a46c for the same clock of a worker <kind>

        Examples:
            | kind                            |
            | that reports its start          |
            | that does not report its start  |

    # Guards against workers that reject the calls of the version before for ever when a deployment goes back to it.
    Scenario Outline: An agent of the earlier version gets above the epoch, at a worker <kind>
        Then an agent of version 8d7a46c is above an epoch of a worker <kind> after at most <calls> rejected calls

        Examples:
            | kind                            | calls |
            | that reports its start          | 25000 |
            | that does not report its start  | 700   |

    # Guards against two processes that exclude each other for ever, each of them with a higher epoch.
    Scenario: A process that another one has excluded gives way
        Given a process whose worker runs a task
        When the worker has seen a higher epoch than that of its next view call
        Then it makes no view call and starts nothing for 2900 ms
        And the run was reported as lost when the worker's lease had expired

    Scenario: A process that gave way calls the worker again later, and takes a higher epoch at once
        Given a process whose worker runs a task
        When the worker has seen a higher epoch than that of its next view call
        And 3100 ms pass, and the worker has seen a higher epoch than that of its next view call
        Then its next view call has a higher epoch
        When the worker answers the process
        Then the process accepts tasks

    Scenario: A process that was excluded twice gives way for good
        Given a process that was excluded, has called the worker again and was excluded again
        Then it makes no view call and starts nothing for 60000 ms
        When the worker reports under another id
        And the worker answers the process as another incarnation, and then as the reported one
        Then the process accepts tasks
        And it calls the new worker
