@entry-directory
Feature: Entries discover each other through the store

    Scenario: A new entry is discovered immediately, not with the next periodic read
        Given an entry directory on an in-memory store
        When another entry writes its address after 100 ms
        Then the directory lists it within 300 ms
        And the directory made at most 12 calls in that time

    Scenario: Reads triggered by the writes of other entries cause no further writes
        Then 12 entries that start together make at most 400 calls within 1000 ms

    Scenario: An agent that has found entries reads rarely, because entries tell it of changes
        Then an agent that finds an entry makes at most 1 call within 2500 ms

    Scenario: An agent that has found no entry goes on reading
        Then an agent that finds no entry makes at least 2 calls within 2500 ms
