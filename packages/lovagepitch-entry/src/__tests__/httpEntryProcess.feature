@entryProcess
Feature: HTTP of an entry process

    Scenario: An entry without its platform is healthy, not ready, issues ids and stops
        Given an entry process whose platform is down
        Then its "/healthz" answers 200
        And its "/readyz" answers 503
        And its "/status" says that the store is not healthy
        And its "/v1/submissions" issues an id
        When the entry process stops
        Then its port refuses connections

    Scenario: A callers' port in use is an error with a remedy and leaves nothing open
        Given an entry process whose platform is down
        Then another entry process on its callers' port fails with a remedy and closes its links

    Scenario: A manifest that is accepted later comes into force
        Given two entry processes and no manifest
        Then entry 1 is not ready
        When a manifest is accepted
        Then both entries become ready

    Scenario: A job runs once and a resubmission elsewhere reads the same answer
        Given two entry processes with a manifest and a scripted agent
        When a caller submits a job of 5 tasks at entry 1
        Then its answer is complete with 5 outputs
        When the caller resubmits the job at entry 2
        Then the resubmission reads the same answer
        And the scripted agent started 5 tasks, each once

    Scenario: One key at two entries at once is one submission
        Given two entry processes with a manifest and a scripted agent
        When a caller sends a job of 3 tasks under one key to both entries at once
        Then both callers read the same complete answer
        And the scripted agent started 3 tasks, each once

    Scenario: A key while the platform is down is refused without a claim on what ran
        Given two entry processes with a manifest and a scripted agent
        And the platform goes down
        When a caller sends a job under a key to entry 1
        Then the caller reads a problem "platform-unavailable" with execution "unknown-yet" and a time to come back
        When a caller submits a job of 2 tasks at entry 1
        Then its answer is complete with 2 outputs

    Scenario: A planned stop lets a running job end and hands its answer over
        Given two entry processes with a manifest and a scripted agent
        And the scripted agent holds its tasks
        When a caller submits a job of 2 tasks at entry 1 and waits
        And entry 1 begins to stop
        Then entry 1 is not ready
        And entry 1 issues no more work
        When the scripted agent releases its tasks
        Then its answer is complete with 2 outputs
        And entry 1 stops and its row is marked as left
        When the caller resubmits the job at entry 2
        Then the resubmission reads the same answer
        And the scripted agent started 2 tasks, each once
