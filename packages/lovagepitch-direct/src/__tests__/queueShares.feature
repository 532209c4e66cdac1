@direct-policies
Feature: Shares of queues and early refusals under contention

    Background:
        Given queues of equal weight that are assured of half of the room

    Scenario: Without contention, no queue is preferred
        When 4 s of demand 20, 40 and 20 are served in full
        Then the queues are "uncontended", "uncontended" and "uncontended"

    Scenario: In a burst of one queue, a queue that gets less than its part is short and the others are over theirs
        When 4 s of demand 20, 160 and 20 are served by 20, 75 and 5
        Then the queues are "over", "over" and "short"

    Scenario: In a burst of one queue, a queue that gets its part is not short although it asks for more
        When 4 s of demand 20, 160 and 40 are served by 20, 50 and 30
        Then the queues are "uncontended", "uncontended" and "uncontended"

    Scenario: A queue with three times the weight is assured of three times the room
        Given weights 1, 1 and 3 for the queues
        When 4 s of demand 20, 160 and 60 are served by 20, 55 and 25
        Then the queues are "over", "over" and "short"

    Scenario: A queue whose route is withdrawn during a burst takes no room from the others
        When 4 s of demand 20, 160 and 20 are served by 20, 75 and 5
        And 31 s of demand 20, 80 and 0 are served in full
        Then 2 queues are known
        And the queues are "uncontended", "uncontended" and "uncontended"

    Scenario: Tasks that agents return do not count as room that the queue got
        When 4 s of demand 20, 160 and 20 are served by 20, 75 and 5
        And every placement of the third queue is returned
        Then the third queue got 0 cores

    Scenario: Without shares, all room goes by priority
        Given no shares
        When 4 s of demand 20, 160 and 20 are served by 20, 75 and 5
        Then the queues are "uncontended", "uncontended" and "uncontended"
        And 0 queues are known

    Scenario: A job of a short queue precedes a more urgent one, but not a started one
        Then of waiting jobs, the started one goes first, then that of a short queue, then the most urgent one

    Scenario Outline: While every worker is full, a job that gets no room in time is refused on arrival
        Given <rate> cores per ms were freed while jobs waited, with <heard> of the workers heard from
        Then a job of 8 cores with <ahead> cores ahead and 100 ms to spare <result>

        Examples:
            | rate | heard | ahead | result     |
            | 1    | 1     | 120   | waits      |
            | 1    | 1     | 160   | is refused |
            | 1    | 0.8   | 160   | waits      |
            | 1    | 0.8   | 200   | is refused |
            | 1    | 0.4   | 500   | waits      |

    Scenario: Silence of every connection is no evidence that room is short
        Given 1 cores per ms were freed while jobs waited, with 1 of the workers heard from
        When no worker is heard from for 2000 ms
        Then the rate of freed room is 1 cores per ms

    Scenario: At the start of a burst the rate of freed room is not known
        Given jobs have waited for 200 ms
        Then the rate of freed room is not known

    Scenario: Time without waiting jobs does not lower the rate of freed room
        Given 1 cores per ms were freed while jobs waited, with 1 of the workers heard from
        When no job waits for 2000 ms
        Then the rate of freed room is 1 cores per ms
