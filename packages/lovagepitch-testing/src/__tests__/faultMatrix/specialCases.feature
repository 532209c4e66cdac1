Feature: Fault matrix, cases that need settings or an order of their own

    Scenario Outline: <case>
        When the special case "<case>" runs
        Then every caller of the matrix has its final answer and no rule is broken

        Examples:
            | case                                                              |
            | a doubled start arrives after the ledger's window                 |
            | a start arrives after the window and the deadline                 |
            | a start arrives after a sweep said not run                        |
            | a start arrives after a sweep and the window                      |
            | an id is used after its keeper was replaced                       |
            | an id is used after it expired                                    |
            | a key is used for another job                                     |
            | a paused keeper resumes after a sweep said not run                |
            | an agent registers after a sweep and the keeper resumes           |
            | an agent restarts at its address while starts are late            |
            | an answer is asked for at every entry after a planned stop        |
            | an agent's ledger is read after its planned stop                  |
            | every entry is replaced while tasks run                           |
            | every agent is replaced while tasks run                           |
            | a task fails and the others are dropped                           |
            | the platform is down from the submission on                       |
            | a refused start arrives again after its task went elsewhere       |
            | a keeper paused past the window sends its start again             |
            | a start is held back until a narrower manifest is in force        |
            | a start is on its way until a narrower manifest is in force       |
            | a start arrives while its agent is leaving                        |
            | an older manifest arrives after a newer one                       |
            | an agent registers after a sweep that its keeper does not hear of |
            | the only worker of a job and its keeper are lost                  |
            | the only worker of a job is frozen and its keeper lost            |
