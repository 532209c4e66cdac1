Feature: Load of a process

    The share of the recent time for which a process had work tells a saturated instance from an idle one of any size.

    Scenario Outline: A process that had work for <busy> ms of 100 ms has the load <load>
        Given a process whose load is taken at 0 ms
        When it has had work for <busy> ms until 100 ms
        Then its load is <load>

        Examples:
            | busy | load |
            | 0    | 0    |
            | 40   | 0.4  |
            | 100  | 1    |

    Scenario: A load is that of the latest window
        Given a process whose load is taken at 0 ms
        When it has had work for 100 ms until 100 ms
        And it has had work for 120 ms until 200 ms
        Then its load is 0.2

    Scenario: A window that has just begun does not count
        Given a process whose load is taken at 0 ms
        When it has had work for 50 ms until 100 ms
        And it has had work for 100 ms until 150 ms
        Then its load is 0.5
