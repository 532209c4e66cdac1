@direct
Feature: Tasks that a worker starts late, after their job was cancelled

    A worker may execute a start without an answer, and seconds late. The task is stopped whoever is left: its entry, its
    agent, a later process of the agent, or nobody but the worker, whose lease ends.

    Background:
        Given 2 entries and 4 workers of 16 cores that keep their ids
        And the workers start tasks 700 ms late, also after the latest instant
        When a job arrives at entry 0 and is cancelled 30 ms later

    Scenario: The entry is killed after it has cancelled
        When entry 0 is killed for good, 1 ms later
        And the workers execute their orders without delay
        Then no task runs 900 ms later

    Scenario: The entry is killed before its stops were sent
        When entry 0 is killed for good, 0 ms later
        And the workers execute their orders without delay
        Then no task runs 900 ms later
        And some task has started

    Scenario: The agents are killed and restarted
        When all agents are killed and restart at once
        And the workers execute their orders without delay
        Then no task runs 900 ms later

    Scenario: The agents are gone for good
        When every agent is killed for good
        Then no task runs 1800 ms later
        And some task has started
