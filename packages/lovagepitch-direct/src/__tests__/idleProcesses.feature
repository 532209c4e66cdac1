@direct-policies
Feature: Processes without work

    Load pattern: hundreds of instances wait for their first job. Heartbeats of connections without runs are due every 250 ms, and
    nothing else is.

    Scenario: An agent without runs wakes a few times a second
        Given an agent with a worker and without runs
        Then it wakes at most 10 times within 1000 ms

    Scenario: An agent with a run checks its worker more often
        Given an agent with a worker and one run
        Then it wakes at least 15 times within 1000 ms

    Scenario: An entry without jobs wakes a few times a second
        Given an entry without jobs
        Then its next wake is at least 100 ms away

    Scenario: An entry with a waiting job wakes for placement and for the job's latest start
        Given an entry with a job that waits for a worker
        Then its next wake is at most 25 ms away

    Scenario: A refusal for lack of a worker is logged with the room that the entry saw
        Given an entry with a job that waits for a worker
        When the job's latest start has passed
        Then the job is refused, and the log line says that no task fitted and no core was free
