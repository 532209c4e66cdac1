@entry-directory
Feature: Entries discover each other through the store

    Scenario: A new entry is discovered immediately, not with the next periodic read
        Given an entry directory on an in-memory store
        When another entry writes its address after 100 ms
        Then the directory lists it within 300 ms
        And the directory made at most 12 calls in that time

    Scenario: Reads triggered by the writes of other entries cause no further writes
        Then 12 entries that start together make at most 400 calls within 1000 ms
