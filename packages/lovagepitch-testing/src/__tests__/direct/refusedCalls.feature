@direct
Feature: Workers that refuse calls while their tasks run

    A refused connection is no proof that the worker's process has ended: a cut may refuse, or the worker may have no descriptor
    left. Runs count as lost when nothing can be running any more.

    Background:
        Given 2 entries and 4 workers that may refuse calls

    # Guards against runs that are given up on a refusal and are started beside themselves.
    Scenario Outline: Tasks run on while their worker refuses calls for <refused> ms
        When 4 jobs of <task> ms tasks arrive within 400 ms at workers that may refuse calls
        And workers 0 and 1 refuse calls for <refused> ms
        And 4 jobs of <task> ms tasks arrive within 1000 ms at workers that may refuse calls
        And 6000 ms pass for the workers that may refuse calls
        Then no task ran twice and no job failed for a refusal
        And every job at these workers was done

        Examples:
            | task | refused |
            | 100  | 3       |
            | 300  | 60      |
            | 300  | 400     |
            | 900  | 650     |
            | 900  | 1500    |

    # Guards against runs that are stopped as those of an earlier process when their worker is reached again.
    Scenario: No run is interrupted by a refusal that ends before the lease
        When 10 jobs of 400 ms tasks arrive within 100 ms at workers that may refuse calls
        And workers 0 and 1 refuse calls for 300 ms
        And 3000 ms pass for the workers that may refuse calls
        Then no run was interrupted by a refusal
        And every job at these workers was done

    # Guards against a late report of a former worker that removes the one that refuses calls.
    Scenario: A report of a former worker arrives while its successor refuses calls
        When worker 0 crashes and is back, and its former report is kept
        And 10 jobs of 400 ms tasks arrive within 100 ms at workers that may refuse calls
        And workers 0 and 1 refuse calls for 200 ms, and the former report arrives meanwhile
        And 3000 ms pass for the workers that may refuse calls
        Then no run was interrupted by a refusal
        And every job at these workers was done

    # Guards against a job that is answered as failed because its workers were taken for crashed.
    Scenario: A job whose workers refuse calls one after the other does not fail
        When a job of one task of 600 ms arrives, and each worker that runs it refuses calls for 300 ms soon after its start
        Then no task ran twice and no job failed for a refusal
        And every job at these workers was done

    # Guards against runs that are started elsewhere while their worker still lists them, when refusals meet other faults.
    Scenario Outline: Refusals among faults in random order, seed <seed>
        When 20 faults occur in random order among refusals, seed <seed>
        And 15000 ms pass for the workers that may refuse calls
        Then no task ran twice and no job failed for a refusal

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |
            | 6    |
