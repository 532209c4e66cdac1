@direct
Feature: Delay of the stops for callers that have gone

    # Guards against an entry that notices late that callers have gone, without any figure or log line that says so.
    Scenario Outline: A caller's end that is handled <milliseconds> ms after the previous tick is measured
        When <callers> callers go and the next tick ends <milliseconds> ms after the previous one
        Then the measured delays are "<delays>"
        And the late ones are "<late>"

        Examples:
            | callers | milliseconds | delays | late  |
            | 0       | 400          |        |       |
            | 1       | 5            | 5      |       |
            | 1       | 51           | 51     |       |
            | 1       | 52           | 52     | 52/1  |
            | 3       | 400          | 400    | 400/3 |

    # Guards against a caller that is counted in a later tick too.
    Scenario: A tick after the stops is not measured
        When 2 callers go and the next tick ends 60 ms after the previous one
        And 0 callers go and the next tick ends 70 ms after the previous one
        Then the measured delays are "60"
        And the late ones are "60/2"
