Feature: Decisions of an entry

    Scenario: A resubmission brings a next id of its own
        Given a scripted entry with agent "a1"
        And a submitted job of 1 task that agent "a1" runs to success
        When the scripted job is submitted again
        Then both scripted answers are complete and bring different next ids

    Scenario: A refusal of an earlier start does not free a task
        Given a scripted entry with agent "a1"
        And a submitted job of 1 task
        When the start is sent again for lack of an answer
        And agent "a1" refuses only the first start
        Then no other start of the scripted task is sent
        When agent "a1" refuses the latest start
        Then one other start of the scripted task is sent

    Scenario: An id that was refused as not run never starts anything
        Given a scripted entry without agents
        And a submitted job of 1 task
        Then the scripted answer is a problem with execution "not-run"
        When agent "a1" becomes known
        And the scripted job is submitted again
        Then the scripted answer is a problem with execution "not-run"
        And nothing of the scripted job was started

    Scenario: A task of an agent that is gone is not placed again
        Given a scripted entry with agent "a1"
        And a submitted job of 1 task
        When agent "a2" becomes known
        And 3000 ms pass without a word of agent "a1"
        Then the scripted answer is failed and its task may have run
        And nothing of the scripted job was started at agent "a2"

    Scenario Outline: A sweep that finds nothing of <age> id says <execution>
        Given a scripted entry with agent "a1"
        When a job is submitted under an id of a lost entry that expires in <life> ms
        And agent "a1" reports that it started nothing of it
        Then the scripted answer is a problem with execution "<execution>"

        Examples:
            | age        | life    | execution    |
            | a living   | 60000   | not-run      |
            | an expired | -900000 | may-have-run |

    Scenario: Probes of a failing agent become rare
        Given a scripted entry with agent "a1"
        And agent "a2" becomes known
        When agent "a1" fails every task and 100 jobs a second come for 20 s
        Then agent "a1" got at most 9 scripted starts

    Scenario: A full entry tells when its queue will have room
        Given a scripted entry with agent "a1"
        And a submitted job of 800 tasks
        When agent "a1" ends 10 tasks every 100 ms for 2 s
        And a job of 800 tasks is submitted under a new id
        Then the scripted refusal "overloaded" asks to come back in 3000 to 8000 ms
