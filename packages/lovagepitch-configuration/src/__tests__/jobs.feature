Feature: Jobs from callers

    Scenario: A job without the idempotent flag counts as not idempotent
        When the sample job is validated
        Then the job is accepted and its idempotent flag is false

    Scenario Outline: Invalid jobs are refused before any task runs
        When the sample job is validated with "<path>" set to <value>
        Then the job is refused as "<kind>" with status <status>, not run, naming "<name>"

        Examples:
            | path                  | value       | kind              | status | name                          |
            | team                  | 7           | malformed-request | 400    | team                          |
            | team                  | ""          | malformed-request | 400    | team                          |
            | service               | "a/b"       | malformed-request | 400    | service                       |
            | kind                  | {}          | malformed-request | 400    | kind                          |
            | deadlineMilliseconds  | 0           | malformed-request | 400    | deadlineMilliseconds          |
            | deadlineMilliseconds  | -5          | malformed-request | 400    | deadlineMilliseconds          |
            | deadlineMilliseconds  | 1e300       | malformed-request | 400    | deadlineMilliseconds          |
            | deadlineMilliseconds  | "5"         | malformed-request | 400    | deadlineMilliseconds          |
            | idempotent            | "yes"       | malformed-request | 400    | idempotent                    |
            | tasks                 | []          | malformed-request | 400    | tasks                         |
            | tasks                 | {}          | malformed-request | 400    | tasks                         |
            | tasks                 | [7]         | malformed-request | 400    | tasks[0]                      |
            | tasks                 | [{}]        | malformed-request | 400    | tasks[0].payload              |
            | tasks.0.cores         | -1          | malformed-request | 400    | tasks[0].cores                |
            | tasks.0.memoryMegabytes | "1"       | malformed-request | 400    | tasks[0].memoryMegabytes      |
            | tasks.0.expectedMilliseconds | null | malformed-request | 400    | tasks[0].expectedMilliseconds |
            | tasks.0.expectedMilliseconds | 1e999 | malformed-request | 400   | tasks[0].expectedMilliseconds |
            | tasks.0.payload       | 1e999       | malformed-request | 400    | tasks[0].payload              |
            | tasks.0.extra         | 1           | malformed-request | 400    | tasks[0].extra                |
            | extra                 | 1           | malformed-request | 400    | extra                         |

    Scenario Outline: A job must stay within its limits
        When the sample job is validated with <tasks> tasks, payloads nested <depth> levels and of <bytes> characters
        Then the outcome of the job's validation is "<outcome>"

        Examples:
            | tasks | depth  | bytes   | outcome           |
            | 820   | 1      | 10      | accepted          |
            | 821   | 1      | 10      | too-many-tasks    |
            | 1     | 32     | 10      | accepted          |
            | 1     | 33     | 10      | malformed-request |
            | 1     | 100000 | 10      | malformed-request |
            | 1     | 1      | 1000000 | accepted          |
            | 1     | 1      | 1048577 | body-too-large    |

    Scenario: Validation returns a result for any value
        Then validating 3000 values drawn with seed 11 never throws and accepts only jobs
        And validating 3000 changed jobs drawn with seed 12 never throws and accepts only jobs
        And parsing 3000 texts drawn with seed 13 as manifests never throws
        And parsing 3000 changed manifests drawn with seed 14 never throws and accepts only manifests
