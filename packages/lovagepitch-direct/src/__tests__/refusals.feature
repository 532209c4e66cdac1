@direct-policies
Feature: Refusals of jobs that were submitted before

    A refusal says that the job has not run. A caller whose answer was lost submits its job again, and the entry may refuse
    it although tasks of the earlier submission have started.

    Scenario Outline: A job <first> is not told that it has not run when it is sent again and <cause>
        Given an entry with 2 workers, where a job <first>
        When the job is sent again after 1300 ms, and <cause>
        Then the answer to the job that was sent again is "interrupted"

        Examples:
            | first                                        | cause                          |
            | lost its caller while it ran                 | the workers have no room       |
            | lost its caller while it ran                 | no worker is left              |
            | lost its caller while it ran                 | the entry refuses new jobs     |
            | lost its caller while it ran                 | the entry has the most jobs    |
            | lost its caller while it ran                 | the entry's memory is full     |
            | was done                                     | the entry's memory is full     |
            | lost its caller while it ran                 | the entry ends its jobs        |
            | lost its caller after a run was stopped      | the workers have no room       |
            | was done                                     | the workers have no room       |
            | was done                                     | the entry refuses new jobs     |
            | failed                                       | the entry refuses new jobs     |
            | was cancelled while it ran                   | the entry refuses new jobs     |

    Scenario Outline: A job <first> is refused when it is sent again and <cause>
        Given an entry with 2 workers, where a job <first>
        When the job is sent again after 1300 ms, and <cause>
        Then the answer to the job that was sent again is "refused"

        Examples:
            | first                                           | cause                      |
            | was refused                                     | the entry refuses new jobs |
            | was refused                                     | the entry's memory is full |
            | lost its caller before a task was placed        | the entry refuses new jobs |
            | lost its caller after all orders were returned  | the workers have no room   |

    Scenario: Jobs of earlier submissions are remembered for a bounded time
        Given an entry with 2 workers, where a job was done
        When the job is sent again after 31000 ms, and the entry refuses new jobs
        Then the answer to the job that was sent again is "refused"

    Scenario: A caller that keeps sending its job is never told that it has not run
        Given an entry with 2 workers, where a job was done
        When the job is sent again 30 times, every 1300 ms, while the workers have no room
        Then the answer to the job that was sent again is "interrupted"

    Scenario: Bounded memory of jobs of earlier submissions
        Then of 20000 jobs that end within 1 s, an entry remembers the latest 16384
