@direct-policies
Feature: Cancellations that are read together with their submission

    Background:
        Given an entry with an idle worker that reads requests every 20 ms

    # Guards against a cancellation that is answered as one of an unknown job while the job is about to start (found by the review).
    Scenario: A job is cancelled in the turn of the event loop in which it is read
        When a job and its cancellation are read in one turn
        Then the job is known to the cancellation, answered as cancelled, and not started

    Scenario: A cancellation that a frozen entry reads before the job prevents it
        When the entry is frozen for 3500 ms, and reads the cancellation of a job before the job
        Then the job is answered as cancelled, and not started

    Scenario: A cancellation of a job of another route has no effect
        When a job and the cancellation of a job of its id on another route are read in one turn
        Then the job is not known to the cancellation, and started

    Scenario: A job that is submitted after a cancellation starts
        When a cancellation of an unknown job is read, and the job is submitted 20 ms later
        Then the job is not known to the cancellation, and started
