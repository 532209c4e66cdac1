Feature: Elements of packed frames

    Scenario Outline: A packed <value> is <outcome>
        When a <value> is packed
        Then it is <outcome>

        Examples:
            | value                               | outcome      |
            | list of 90000 objects with a field  | not unpacked |
            | list of 40000 objects with a field  | unpacked     |
            | text of 4000000 bytes               | unpacked     |
            | list of 300000 numbers              | unpacked     |
            | list of 500000 numbers              | not unpacked |
            | list of 150000 empty lists          | not unpacked |
            | list of 3 objects with 40000 fields | not unpacked |

    Scenario: Elements of any value are counted up to the end of its bytes
        Then 300 random values with seed 1, each repeated in a list, are not unpacked exactly when they have too many elements
