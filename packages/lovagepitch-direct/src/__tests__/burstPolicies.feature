@direct-policies
Feature: Order and start of waiting jobs in a burst

    Scenario: In a burst of both kinds, started jobs go first, then those with the earlier latest start
        Then waiting jobs with latest starts 900, 300, 50 and 600, the 600 started, are ordered 600, 50, 300, 900

    Scenario: Urgent jobs go first in a burst of less urgent ones
        Then of jobs that have not started, one of priority 0 precedes one of priority 1 with an earlier latest start

    Scenario Outline: While capacity is freed task by task, a job starts only if its last task can start in time
        Then a job of rank "<rank>" with <spare> ms to spare and capacity for <free> of <tasks> tasks <result> while others wait

        Examples:
            | rank  | spare | free | tasks | result |
            | only  | 100   | 0    | 8     | starts |
            | only  | 20    | 0    | 8     | waits  |
            | first | 100   | 0    | 8     | starts |
            | first | 20    | 0    | 8     | waits  |
            | first | 0     | 8    | 8     | starts |
            | later | 180   | 2    | 2     | starts |
            | later | 180   | 1    | 2     | starts |
            | later | 90    | 1    | 2     | waits  |
            | later | 180   | -1   | 2     | waits  |
            | later | 600   | 0    | 4     | starts |

    Scenario: Of two priorities that arrive together, the lower number is the more urgent one
        When jobs of priorities 1 and 2 arrived 10 and 20 ms ago
        Then priority 1 has rank "first"
        And priority 2 has rank "later"

    Scenario: A more urgent priority without recent arrivals does not demote the other
        When jobs of priorities 1 and 2 arrived 6000 and 20 ms ago
        Then priority 2 has rank "only"

    Scenario Outline: When every worker is full, only tasks that precede all others are queued at an agent
        Then a task of a job of rank "<rank>" that has <state> may be queued at the agent of a full worker: <may>

        Examples:
            | rank  | state       | may |
            | first | not started | yes |
            | first | started     | yes |
            | later | not started | no  |
            | later | started     | yes |
            | only  | started     | no  |
