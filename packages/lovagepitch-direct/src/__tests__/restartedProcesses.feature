@direct-policies
Feature: What a restarted process learns late or again

    A process that has started knows nothing, and messages of different ages reach it. Nothing that was taken back is in use
    again because its message comes late.

    Scenario Outline: A restarted agent whose first report of its worker is <age> ms old starts <what>
        Given a restarted agent whose worker reports every 1500 ms
        When a report of the ready worker arrives that is <age> ms old, and the worker answers
        Then the restarted agent starts <what>

        Examples:
            | age  | what    |
            | 100  | a task  |
            | 6000 | no task |

    Scenario: A report from before the worker drained does not follow the one that says so
        Given a restarted agent whose worker reports every 1500 ms
        When the worker reports that it drains, and an earlier report arrives after that
        Then the restarted agent starts no task

    Scenario: Versions of the configuration only rise at an entry, from whomever and in whatever order they come
        Then any order of 12 versions from the store and from agents leaves the newest one in force, and none comes back

    Scenario: States of the evacuated zones only rise at an entry, from whomever and in whatever order they come
        Then any order of 12 states of evacuated zones from the store and from agents leaves the newest one in force
