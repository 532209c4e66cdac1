Feature: Part of the new jobs that is passed on, by the load of the entries

    Scenario: An entry whose processor time suffices passes nothing on
        Given an entry whose load was 0.75 for 20 windows
        Then no part of its new jobs is passed on
        And it takes jobs of others

    Scenario: A saturated entry soon passes all new jobs on, and keeps them again when it has time
        Given an entry whose load was 1 for 4 windows
        Then all of its new jobs are passed on
        And it takes no jobs of others
        When its load is 0.3 for 8 windows
        Then no part of its new jobs is passed on

    Scenario: An entry that is little above what it can do passes a part of its new jobs on
        Given an entry whose load was 0.9 for 4 windows
        Then a part of its new jobs is passed on

    Scenario Outline: An entry with a load of <own> passes jobs on to one with a load of <other>: <passes>
        Given an entry whose load was <own> for 1 windows
        Then it passes jobs on to an entry with a load of <other>: <passes>

        Examples:
            | own  | other | passes |
            | 0.95 | 0.3   | yes    |
            | 0.95 | 0.79  | yes    |
            | 0.95 | 0.8   | no     |
            | 1    | 1     | no     |
            | 0.85 | 0.78  | no     |

    Scenario: Of two entries, the one with more time to spare gets more of the jobs
        Given an entry whose load was 1 for 1 windows
        Then an entry with a load of 0.2 gets more of its jobs than one with a load of 0.6
