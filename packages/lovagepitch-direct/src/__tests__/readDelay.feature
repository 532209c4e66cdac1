@direct-policies
Feature: Delay until a request is read

    Load pattern: a process is frozen, slowed or starved of processor time, and reads requests late. What a request says does not tell when
    it was sent.

    Scenario Outline: After ticks that came <late> ms late each, a request may have arrived <milliseconds> ms ago
        Given a process whose ticks are due every 25 ms
        When <ticks> ticks come <late> ms late
        Then a request that is read now may have arrived <milliseconds> ms ago

        Examples:
            | ticks | late | milliseconds |
            | 5     | 0    | 0            |
            | 1     | 20   | 0            |
            | 1     | 3500 | 3525         |
            | 2     | 300  | 650          |
            | 3     | 300  | 975          |
            | 9     | 300  | 975          |

    # The first tick after a pause accepts connections whose requests are read in the next ones.
    Scenario: Requests may have waited until some ticks and some time after a delay
        Given a process whose ticks are due every 25 ms
        When 1 ticks come 3500 ms late
        And 2 ticks come 0 ms late
        Then a request that is read now may have arrived 3575 ms ago
        When 1 ticks come 0 ms late
        Then a request that is read now may have arrived 0 ms ago
