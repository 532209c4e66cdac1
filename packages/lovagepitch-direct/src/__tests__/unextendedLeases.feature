@direct-policies
Feature: Calls of an agent while views do not extend the worker's lease

    Background:
        Given an agent whose worker may be called without extending its lease

    # Starts extend the lease of all runs too, so it may last longer than the latest view call has extended it.
    Scenario: No run is reported as lost while a start order may still extend its lease
        When starts get no answer for 700 ms, so that views extend the lease rarely, and then no call gets any
        Then runs are reported as lost, but not before the last lease that any call has permitted

    Scenario: A worker that answers views keeps its lease while starts get no answer
        When starts get no answer for 700 ms, so that views extend the lease rarely, and then no call gets any
        Then the lease was extended by a view at least every 350 ms while views were answered

    Scenario: Views wait for ends while the lease is not extended because a run has to end
        When a run has to end and goes on for 200 ms, while the worker answers each view at once
        Then views did not extend the lease, and each waited for an end

    # The start may be executed seconds later, when its run has been given up.
    Scenario Outline: A late start is excluded at once when <event>
        Given two starts without an answer, the second of which was sent after the first had raised the epoch
        When <event>
        Then the next view call has an epoch above that of both starts

        Examples:
            | event                                          |
            | the worker does not answer the next view call  |
            | a run has to end and goes on                   |
