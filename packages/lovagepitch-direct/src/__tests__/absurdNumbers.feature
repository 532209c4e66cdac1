@direct-policies
Feature: Numbers and identities that no process sends

    Numbers that a message can carry and that make no sense end no process, name no other run, and are not passed on.

    Scenario Outline: A <message> with a run of <identity> is refused
        Then the <message> with a run of <identity> is refused

        Examples:
            | message                     | identity    |
            | start order                 | task -1     |
            | start order                 | task 0.5    |
            | start order                 | task 1e21   |
            | start order                 | run 0       |
            | start order                 | run 1.5     |
            | start order                 | run -1      |
            | stop order                  | task -1     |
            | stop order                  | run 0.5     |
            | ended run                   | task -1     |
            | ended run                   | run 0       |
            | open run                    | task 0.5    |
            | open run                    | run -1      |
            | start order                 | submission -1   |
            | ended run                   | submission ""   |
            | ended run                   | submission "1"  |
            | ended run                   | submission null |
            | open run                    | submission 0.5  |
            | stop order                  | submission "1"  |
            | start order                 | -1 cores    |
            | start order                 | -1 memory   |

    Scenario: An end of any identity but that of the run changes nothing
        Then no end of another job, task or run than that which runs at an agent ends the run

    Scenario: An end that a frame holds twice counts once
        Given an entry with 1 worker that runs both tasks of a job
        When the agent reports the end of task 0 twice in one frame and once in the next one
        Then the job is not answered
        When the agent reports the end of task 1
        Then the job is done

    Scenario Outline: A job of which the numbers are the largest that callers send starts at agents
        Given an entry with 1 worker
        When a job with an estimate of <estimate> ms that waits <wait> ms is submitted
        Then the agent can read its start order

        Examples:
            | estimate | wait     |
            | 86400000 | 86400000 |
            | 0        | 1        |

    Scenario: Frames of agents with absurd numbers end neither the entry nor its service
        Then an entry goes on after any of 300 frames of an agent with absurd numbers

    Scenario: Frames of entries with absurd numbers end neither the agent nor its service
        Then an agent goes on after any of 300 frames of an entry with absurd numbers
