Feature: Bounded reading of values from outside

    What is spent on a text or value, and what is told about its faults, does not grow with the number of its faults.

    Scenario: Random values are parsed as they were written
        Then 300 random lists of JSON values with seed 1, each longer than 100000 bytes, are parsed as they were written

    Scenario Outline: A text of <count> <values> is <outcome>
        Then a list of <count> <values> is <outcome>

        Examples:
            | count   | values                   | outcome    |
            | 390000  | numbers                  | parsed     |
            | 390000  | texts                    | parsed     |
            | 99000   | empty objects            | parsed     |
            | 49000   | objects of one field     | parsed     |
            | 4000    | texts of 1000 commas     | parsed     |
            | 4000    | texts of 1000 brackets   | parsed     |
            | 2000    | texts of escaped marks   | parsed     |
            | 400001  | numbers                  | not parsed |
            | 400001  | texts                    | not parsed |
            | 100001  | empty objects            | not parsed |
            | 50001   | objects of one field     | not parsed |

    Scenario: Elements behind any text are counted
        Then 300 random texts with seed 2 do not hide 400001 numbers behind them

    # Guards against the schema library listing every fault, which ends the process from some 126,000 on.
    Scenario: The validation of large lists ends at the first fault
        Then lists of 300000 elements are validated up to the first of their faults, with seed 3

    Scenario: A fault is described in a few characters
        Then the description of a fault in a field with a name of 100000 characters has at most 300 characters
