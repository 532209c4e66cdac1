@entry-directory
Feature: Entries discover each other through the store

    Scenario: A new entry is discovered immediately, not with the next periodic read
        Given an entry directory on an in-memory store
        When another entry writes its address after 100 ms
        Then the directory lists it within 300 ms
        And the directory made at most 12 calls in that time

    # Guards against a row of which the address can't be connected to: each process that read it ended.
    Scenario Outline: A row with <address> names no entry
        Then the rows of "10.1.0.1:7720" and <address> name "10.1.0.1:7720" only

        Examples:
            | address             |
            | "10.1.0.1:99999"    |
            | "10.1.0.1:65536"    |
            | "10.1.0.1:0"        |
            | "10.1.0.999:7720"   |
            | "10.1:7720"         |
            | ".:7720"            |
            | "10.1.0.1:7720:1"   |
            | "10.1.0.1:077200"   |

    Scenario: Agents and entries outlive every address that is taken for one
        Then no address that is taken for one of an entry makes a connection or a datagram throw

    Scenario: Reads triggered by the writes of other entries cause no further writes
        Then 12 entries that start together make at most 400 calls within 1000 ms

    Scenario: An agent that has found entries reads rarely, because entries tell it of changes
        Then an agent that finds an entry makes at most 1 call within 2500 ms

    Scenario: An agent that has found no entry goes on reading
        Then an agent that finds no entry makes at least 2 calls within 2500 ms
