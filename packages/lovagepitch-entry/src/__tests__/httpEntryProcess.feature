@entryProcess
Feature: HTTP of an entry process

    Scenario: An entry without its platform is healthy but not ready, issues submission ids and stops
        Given an entry process whose platform is down
        Then its "/healthz" answers 200
        And its "/readyz" answers 503
        And its "/status" reports that the store is not healthy
        And its "/v1/submissions" issues an id
        When the entry process stops
        Then its port refuses connections

    Scenario: A caller port in use fails with a remedy and leaves no port open
        Given an entry process whose platform is down
        Then another entry process on its caller port fails with a remedy and closes its links

    Scenario: A manifest that is applied later takes effect
        Given two entry processes and no manifest
        Then entry 1 is not ready
        When a manifest is applied
        Then both entries become ready

    Scenario: A job runs once and a resubmission to another entry returns the same answer
        Given two entry processes with a manifest and a scripted agent
        When a caller submits a job of 5 tasks at entry 1
        Then its answer is complete with 5 outputs
        When the caller resubmits the job at entry 2
        Then the resubmission returns the same answer
        And the scripted agent started 5 tasks, each exactly once

    Scenario: One key sent to two entries at the same time is one submission
        Given two entry processes with a manifest and a scripted agent
        When a caller sends a job of 3 tasks under one key to both entries at the same time
        Then both callers receive the same complete answer
        And the scripted agent started 3 tasks, each exactly once

    Scenario: A job under a key is refused with an unknown outcome while the platform is down
        Given two entry processes with a manifest and a scripted agent
        And the platform goes down
        When a caller sends a job under a key to entry 1
        Then the caller receives a problem "platform-unavailable" with execution "unknown-yet" and a Retry-After header
        When a caller submits a job of 2 tasks at entry 1
        Then its answer is complete with 2 outputs

    Scenario: A graceful shutdown lets a running job finish and hands its answer over
        Given two entry processes with a manifest and a scripted agent
        And the scripted agent holds its tasks
        When a caller submits a job of 2 tasks at entry 1 and waits
        And entry 1 starts to shut down
        Then entry 1 is not ready
        And entry 1 refuses new jobs
        When the scripted agent releases its tasks
        Then its answer is complete with 2 outputs
        And entry 1 stops and its row is marked as left
        When the caller resubmits the job at entry 2
        Then the resubmission returns the same answer
        And the scripted agent started 2 tasks, each exactly once
