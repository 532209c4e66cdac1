@entry-directory
Feature: Entries find each other through the store

    Scenario: A replacement is found at once, not with the next reading
        Given an entry directory over a store in memory
        When another entry writes its address after 100 ms
        Then the directory names it within 300 ms
        And the directory made at most 12 calls in that time

    Scenario: Entries that read after each other's writes do not multiply them
        Then 12 entries that start together make at most 400 calls within 1000 ms
