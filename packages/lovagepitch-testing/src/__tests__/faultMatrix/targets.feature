Feature: Times to reach after a fault, on the clock that the test moves

    Scenario Outline: <target>
        When the time of "<target>" is taken with 5 seeds
        Then the time taken is at most <limit> ms

        Examples:
            | target                                                             | limit |
            | entry killed, first answer to a resubmission elsewhere             | 1000  |
            | entry killed, final answer after the last task's end               | 2000  |
            | agent killed, final answer of a job with a task there              | 2000  |
            | agents cannot be reached on old connections, next start            | 1000  |
            | backend server leaves, last start there                            | 1000  |
            | manifest accepted with the store up, in force everywhere           | 5000  |
            | manifest accepted and the store down, in force everywhere          | 5000  |
