Feature: Decisions of an entry

    Scenario: Each response carries a different id for the next submission
        Given a scripted entry with agent "a1"
        And a submitted job of 1 task that agent "a1" runs to success
        When the scripted job is submitted again
        Then both scripted answers are complete and carry different next submission ids

    Scenario: A refusal of an outdated start does not release the task
        Given a scripted entry with agent "a1"
        And a submitted job of 1 task
        When the start is resent because the agent has not replied
        And agent "a1" refuses only the first start
        Then no further start of the scripted task is sent
        When agent "a1" refuses the latest start
        Then one further start of the scripted task is sent

    Scenario: A submission id that was refused as not run never starts a task
        Given a scripted entry without agents
        And a submitted job of 1 task
        Then the scripted answer is a problem with execution "not-run"
        When agent "a1" becomes known
        And the scripted job is submitted again
        Then the scripted answer is a problem with execution "not-run"
        And no task of the scripted job was started

    Scenario: A task of an unresponsive agent is not placed again
        Given a scripted entry with agent "a1"
        And a submitted job of 1 task
        When agent "a2" becomes known
        And 3000 ms pass without a message from agent "a1"
        Then the scripted answer is failed and its task may have run
        And no task of the scripted job was started at agent "a2"

    Scenario Outline: A collection that finds no started task of <age> id reports <execution>
        Given a scripted entry with agent "a1"
        When a job is submitted under an id of an unavailable entry that expires in <lifetime> ms
        And agent "a1" reports that it started no task of the job
        Then the scripted answer is a problem with execution "<execution>"

        Examples:
            | age        | lifetime | execution    |
            | a valid    | 60000    | not-run      |
            | an expired | -900000  | may-have-run |

    Scenario: A failing agent is probed less and less often
        Given a scripted entry with agent "a1"
        And agent "a2" becomes known
        When agent "a1" fails every task and 100 jobs per second arrive for 20 s
        Then agent "a1" receives at most 9 scripted starts

    Scenario: An overloaded entry estimates when its queue will have capacity
        Given a scripted entry with agent "a1"
        And a submitted job of 800 tasks
        When agent "a1" finishes 10 tasks every 100 ms for 2 s
        And a job of 800 tasks is submitted under a new id
        Then the scripted refusal "overloaded" asks for a retry after 3000 to 8000 ms

    Scenario: A job that only a busy worker may run does not delay the jobs behind it
        Given a scripted entry with agent "a1"
        And a submitted job of 8 tasks
        And a submitted job of 1 task
        When agent "a2" becomes known
        And a job of 2 tasks is submitted under a new id
        Then 2 tasks of the scripted job were started at agent "a2"
        When agent "a1" finishes the first scripted job
        Then the second scripted job was started at agent "a1"

    Scenario: A job is refused at once when the last worker that may run it leaves
        Given a scripted entry with agent "a1"
        And a submitted job of 8 tasks
        And a submitted job of 1 task
        When agent "a2" becomes known
        And agent "a1" starts to leave
        Then the scripted answer is a problem with execution "not-run"
