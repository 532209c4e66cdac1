Feature: Recovery times after a fault, on the test's manual clock

    Scenario Outline: <target>
        When the time of "<target>" is measured with 5 seeds
        Then the measured time is at most <limit> ms

        Examples:
            | target                                                        | limit |
            | entry killed, first answer to a resubmission at another entry | 1000  |
            | entry killed, final answer after the last task's end          | 2000  |
            | agent killed, final answer of a job with a task there         | 2000  |
            | existing connections to agents silent, next start             | 1000  |
            | backend server drains, last start there                       | 1000  |
            | manifest accepted with the store up, in force everywhere      | 5000  |
            | manifest accepted and the store down, in force everywhere     | 5000  |
