@entryProcess
Feature: HTTP of an entry process

    Scenario: An entry without its platform is healthy, not ready, issues ids and stops
        Given an entry process whose platform refuses connections
        Then its "/healthz" answers 200
        And its "/readyz" answers 503
        And its "/status" says that the store is not healthy
        And its "/v1/submissions" issues an id
        When the entry process stops
        Then its port refuses connections
