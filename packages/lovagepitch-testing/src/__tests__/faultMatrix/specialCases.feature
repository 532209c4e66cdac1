Feature: Fault matrix, cases that need their own settings or order of events

    Scenario Outline: <case>
        When the special case "<case>" runs
        Then every caller of the matrix has its final answer and no rule is violated

        Examples:
            | case                                                                  |
            | a duplicated start arrives after the resubmission window              |
            | a start arrives after the resubmission window and the deadline        |
            | a start arrives after a sweep reported not run                        |
            | a start arrives after a sweep and the resubmission window             |
            | an id is used after its owner entry was replaced                      |
            | an id is used after it expired                                        |
            | a key is used for another job                                         |
            | a frozen owner entry resumes after a sweep reported not run           |
            | an agent registers after a sweep and the owner entry resumes          |
            | an agent restarts at its address while starts are late                |
            | an answer is requested at every entry after a graceful shutdown       |
            | an agent's ledger is read after its graceful shutdown                 |
            | every entry is replaced while tasks run                               |
            | every agent is replaced while tasks run                               |
            | a task fails and the others are dropped                               |
            | the platform is down from the submission on                           |
            | a refused start arrives again after its task was placed elsewhere     |
            | an owner entry frozen past the resubmission window resends its start  |
            | a start is not sent until a narrower manifest is in force             |
            | a start is in transit until a narrower manifest is in force           |
            | a start arrives while its agent is draining                           |
            | an older manifest arrives after a newer one                           |
            | an agent registers after a sweep while the owner entry is partitioned |
            | the only worker of a job and its owner entry are lost                 |
            | the only worker of a job is frozen and its owner entry lost           |
