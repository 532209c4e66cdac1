Feature: Capacity arithmetic

    Scenario: Points on a line are fitted without residual
        Given the capacity observations
            | agents | entries | output |
            | 20     | 1       | 65     |
            | 80     | 2       | 195    |
            | 300    | 4       | 655    |
            | 300    | 1       | 625    |
        Then the capacity fit is 15 at 0 with the slopes "2, 10"
        And the capacity fit has the residual 0 and explains a share of 1

    Scenario: Scattered points are fitted by least squares with a residual
        Given the capacity observations
            | size | output |
            | 1    | 1      |
            | 2    | 3      |
            | 3    | 2      |
        Then the capacity fit is 1 at 0 with the slopes "0.5"
        And the capacity fit has the residual 0.7071 and explains a share of 0.25

    Scenario: Constant outputs have a determination of 1
        Given the capacity observations
            | size | output |
            | 1    | 4      |
            | 2    | 4      |
        Then the capacity fit is 4 at 0 with the slopes "0"
        And the capacity fit has the residual 0 and explains a share of 1

    Scenario: Too few points are refused
        Given the capacity observations
            | size | output |
            | 1    | 4      |
        Then the capacity fit is refused with "measure more sizes"

    Scenario: Linearly dependent variables are refused
        Given the capacity observations
            | agents | entries | output |
            | 1      | 2       | 4      |
            | 2      | 4       | 5      |
            | 3      | 6       | 7      |
        Then the capacity fit is refused with "measure sizes that vary independently"

    Scenario: A node's budgets are divided by its rate of task starts
        Then the capacity budget of a task is 951 microseconds and 602 bytes at 31.5 starts per second

    Scenario Outline: The number of required entries is rounded up
        Then <starts> starts per second at <microseconds> microseconds each require <entries> entries that use <share> of a core

        Examples:
            | starts | microseconds | share | entries |
            | 41000  | 400          | 0.5   | 33      |
            | 1000   | 1000         | 1     | 1       |
            | 1001   | 1000         | 1     | 2       |

    Scenario: The platform's load follows from the intervals
        Given a capacity deployment of 1200 agents and 10 entries that read the registry every 2000 ms
        When its agents poll every 4000 ms and renew every 60000 ms
        And its entries poll every 2000 ms and renew every 10000 ms
        Then the platform must serve 310 reads and 21 writes per second
        And listings of 300 bytes per agent amount to 1800000 bytes per second

    Scenario: A sweep sends one seal request per agent and submission
        Then a capacity sweep of 1300 agents and 100 submissions takes 260000 messages

    Scenario: Only metrics without labels are parsed
        Given the capacity metrics text
            """
            # TYPE lovagepitch_entry_agents gauge
            lovagepitch_entry_agents 20
            lovagepitch_entry_refusals_total{kind="overloaded"} 3
            lovagepitch_entry_starts_total 1.5e3
            """
        Then the parsed capacity metrics are "lovagepitch_entry_agents=20, lovagepitch_entry_starts_total=1500"
