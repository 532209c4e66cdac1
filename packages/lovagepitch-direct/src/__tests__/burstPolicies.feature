@direct-policies
Feature: What waits in a burst, and what goes first

    Scenario: A burst of both kinds: what is begun is finished, then the one with less time goes first
        Then waiting jobs with latest starts 900, 300, 50 and 600, the 600 begun, are ordered 600, 50, 300, 900

    Scenario: Urgent jobs arrive in a burst of others: they go first
        Then of jobs that have not begun, one of priority 0 goes before one of priority 1 that has less time

    Scenario Outline: Room comes free one task at a time: a job begins when its last task will find room in time
        Then a job of rank "<rank>" with <spare> ms to spare and room for <room> of <tasks> tasks <what> while others wait

        Examples:
            | rank  | spare | room | tasks | what   |
            | only  | 100   | 0    | 8     | begins |
            | only  | 20    | 0    | 8     | waits  |
            | first | 100   | 0    | 8     | begins |
            | first | 20    | 0    | 8     | waits  |
            | first | 0     | 8    | 8     | begins |
            | later | 180   | 2    | 2     | begins |
            | later | 180   | 1    | 2     | begins |
            | later | 90    | 1    | 2     | waits  |
            | later | 180   | -1   | 2     | waits  |
            | later | 600   | 0    | 4     | begins |

    Scenario: Two priorities arrive together: the lower figure is the more urgent one
        When jobs of priorities 1 and 2 arrived 10 and 20 ms ago
        Then priority 1 has rank "first"
        And priority 2 has rank "later"

    Scenario: The more urgent kind has not arrived for a while: the other is not pushed back
        When jobs of priorities 1 and 2 arrived 6000 and 20 ms ago
        Then priority 2 has rank "only"

    Scenario Outline: Every worker is full: only what comes before all others is sent ahead
        Then a task of a job of rank "<rank>" that has <state> may wait at a full worker: <may>

        Examples:
            | rank  | state     | may |
            | first | not begun | yes |
            | first | begun     | yes |
            | later | not begun | no  |
            | later | begun     | yes |
            | only  | begun     | no  |
