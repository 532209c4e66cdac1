Feature: Jobs that an entry passes on to another one

    # Guards against clients of one zone that are served far less than the mean, because the entries of their zone are small (issue 65).
    Scenario: A job is passed on, and its caller gets the answer of the other entry
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        Then the other entry was sent job "a"
        And no task of job "a" was started here
        When the other entry answers job "a" as "done"
        Then the caller of job "a" was told "done"

    Scenario: A job that the other entry has not recorded is run here, and not passed on again
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And the other entry declines job "a"
        Then a task of job "a" was started here
        And the other entry was sent job "a" once

    Scenario Outline: A job that the other entry refuses because of <reason> <result>
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And the other entry refuses job "a" because of "<reason>"
        Then job "a" <result>

        Examples:
            | reason          | result              |
            | no-room-in-time | was refused         |
            | over-share      | was refused         |
            | shutting-down   | was started instead |
            | no-worker       | was started instead |

    Scenario: A repeated request waits for the same answer, and another job of the same id is rejected
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And job "a" is submitted again
        And another job "a" is submitted
        Then the other entry was sent job "a" once
        And the caller of the other job "a" was told "id-in-use"
        When the other entry answers job "a" as "done"
        Then both callers of job "a" were told "done"

    # Otherwise the job would run here and at the other entry.
    Scenario: A repeated request waits for the same answer although open requests hold as much memory as they may
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And job "a" is submitted again while memory is full
        Then no task of job "a" was started here
        When the other entry answers job "a" as "done"
        Then both callers of job "a" were told "done"

    Scenario: The answer to an earlier submission is not taken for that to a later one
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And its caller leaves
        And job "a" is submitted
        And the other entry answers the first submission of job "a" as "done"
        Then the latest caller of job "a" has no answer

    Scenario: A caller that leaves before its job was sent
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted and its caller leaves in the same tick
        Then the other entry was not sent job "a"

    Scenario: A caller that leaves, and comes back: its job is not started before the other entry has released it
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And its caller leaves
        Then job "a" was withdrawn
        When job "a" is submitted
        Then no task of job "a" was started here
        And the other entry was asked to release job "a"

    Scenario: A cancellation is passed on
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        Then job "a" is described as "started"
        When job "a" is cancelled
        Then the other entry was told to cancel job "a"

    Scenario: The connection to the other entry ends
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And the connection to the other entry ends
        Then the caller of job "a" was told "interrupted"
        When job "a" is submitted
        Then no task of job "a" was started here
        And the other entry was asked to release job "a"

    # The other entry has ended the job 500 ms and a tick after it last heard of this one, which may be 100 ms after its own last message.
    Scenario: The other entry is silent
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And 660 ms pass without a reply
        Then the latest caller of job "a" has no answer
        When 100 ms pass without a reply
        Then the caller of job "a" was told "interrupted"

    Scenario: The process stops
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And the entry is told to interrupt its jobs
        Then job "a" was withdrawn as interrupted
        And the latest caller of job "a" has no answer

    Scenario Outline: A job stays where it is while <case>
        Given an entry that passes all new jobs on, with an idle worker
        And <case>
        When job "a" is submitted
        Then a task of job "a" was started here

        Examples:
            | case                                         |
            | the other entry takes no jobs                |
            | the other entry has another configuration    |
            | job "a" was open here before                 |
            | another entry has announced job "a"          |

    Scenario: An entry asks for agents when workers have no room, but not while it is short of processor time itself
        Given an entry that is short of processor time, with a full worker
        When job "a" is submitted
        And 60 ms pass without a reply
        Then no other entry was asked for agents
        When it has enough processor time
        And 60 ms pass without a reply
        Then other entries were asked for agents

    Scenario: A submission of another entry is run here, and answered there
        Given an entry that takes jobs of others, with an idle worker
        When another entry passes job "a" on, 10 ms after its last reply
        Then a task of job "a" was started here
        When the task of job "a" succeeds
        Then the reply has the answer "done" to job "a"

    Scenario: An entry without time to spare declines a new job, but not one that it has
        Given an entry that takes jobs of others, with an idle worker
        When another entry passes job "a" on, 10 ms after its last reply
        And it has no time to spare any more
        And another entry passes job "a" on, 10 ms after its last reply
        And another entry passes job "b" on, 10 ms after its last reply
        Then job "b" was declined
        And job "a" was not declined

    Scenario: A job is not passed on a second time
        Given an entry that passes all new jobs on, with an idle worker
        When another entry passes job "a" on, 10 ms after its last reply
        Then the other entry was not sent job "a"
        And a task of job "a" was started here

    # Otherwise the job would run here and at the entry that it was passed on to.
    Scenario: A job that another entry passes on is one that this entry has passed on to a third one
        Given an entry that passes all new jobs on, with an idle worker
        When job "a" is submitted
        And another entry passes job "a" on, 10 ms after its last reply
        Then no task of job "a" was started here
        And the other entry was sent job "a" once
        When the other entry answers job "a" as "done"
        Then the caller of job "a" was told "done"
        And the reply has the answer "done" to job "a"

    Scenario Outline: The entry that has passed a job on <fault>
        Given an entry that takes jobs of others, with an idle worker
        When another entry passes job "a" on, 10 ms after its last reply
        And the entry that has passed it on <fault>
        Then job "a" was stopped here

        Examples:
            | fault                      |
            | closes the connection      |
            | says nothing for 560 ms    |
            | withdraws the submission   |
            | cancels the job            |

    Scenario: A submission that the other entry may have received long ago is not started before the others were asked
        Given an entry that takes jobs of others, with an idle worker
        And it knows a third entry
        When another entry passes job "a" on, which it may have received 1270 ms ago
        Then no task of job "a" was started here
        And the third entry was asked for job "a"

    Scenario: A submission that was under way for longer than its sender may be silent is not started
        Given an entry that takes jobs of others, with an idle worker
        When another entry passes job "a" on, 510 ms after its last reply
        Then no task of job "a" was started here
        And the connection of the other entry was closed

    Scenario: The time that the caller waits counts from the arrival at the first entry
        Given an entry that takes jobs of others, with an idle worker
        When another entry passes job "a" on, whose caller waits for 300 ms, after 200 ms
        And 60 ms pass without a reply
        Then the reply has no answer to job "a"
        When 60 ms pass without a reply
        Then the reply has the answer "interrupted" to job "a"
