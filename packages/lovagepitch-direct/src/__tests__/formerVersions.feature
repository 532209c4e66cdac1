@direct-policies
Feature: Entries and agents of the former version, whose runs name no submission

    During a rolling upgrade, entries and agents of two versions work together in both directions.

    Scenario: Runs that an agent of the former version lists on a new connection go on
        Given an entry that runs both tasks of a job at an agent of the former version
        When that agent connects again and lists both runs
        And 300 ms pass for the entry
        Then no task was ordered again
        When that agent reports the success of both runs
        Then the job of the former version's agent is done

    Scenario: A run that an agent of the former version does not list on a new connection is ordered again
        Given an entry that runs both tasks of a job at an agent of the former version
        When that agent connects again and lists the run of task 0
        And 300 ms pass for the entry
        Then task 1 was ordered again

    Scenario: An agent of the former version ends no run that was placed at another agent
        Given an entry that runs both tasks of a job at an agent of the former version
        When another agent of the former version connects and repeats the end "succeeded" of both runs
        And 300 ms pass for the entry
        Then no task was ordered again
        And the job of the former version's agent is open

    Scenario Outline: Stops of an ended job reach an agent of the former version <when>
        Given an entry that runs both tasks of a job at an agent of the former version
        When the job's caller disconnects <when>
        Then that agent was told on its connection to stop both runs

        Examples:
            | when                                  |
            | while the agent is connected          |
            | before the agent connects again       |

    Scenario: An entry of the former version starts and stops a run
        Given an agent that runs a task of an entry of the former version
        When that entry stops the run by the name that it ordered it by
        Then the worker was told to stop the run
        When the worker lists the run as stopped
        Then the end "stopped" was reported by the name that the run was ordered by

    Scenario: Open runs are listed to an entry of the former version by the names that it knows
        Given an agent that runs a task of an entry of the former version
        When the connection to that entry is replaced
        Then the agent's first frame lists the run by the name that it was ordered by
