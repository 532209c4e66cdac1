Feature: Dispatch of tasks to the backend server

    Scenario: A task succeeds with its output
        Given a backend server that answers 200 with {"output":{"watered":true}}
        When the agent dispatches a task with a timeout of 5000 ms
        Then the task outcome is "succeeded"
        And the backend server received 1 request with the idempotency key "A1/0"

    Scenario: An output of null is valid
        Given a backend server that answers 200 with {"output":null}
        When the agent dispatches a task with a timeout of 5000 ms
        Then the task outcome is "succeeded"

    Scenario Outline: A task with an unusable response fails and is not retried
        Given a backend server that answers <status> with <body>
        When the agent dispatches a task with a timeout of 5000 ms
        Then the task outcome is "failed" with reason "<reason>"
        And the backend server received 1 request with the idempotency key "A1/0"

        Examples:
            | status | body             | reason                                               |
            | 500    | {}               | the backend server answered with status 500          |
            | 503    | {"output":1}     | the backend server answered with status 503          |
            | 302    | {}               | the backend server answered with status 302          |
            | 200    | invalid JSON     | the backend server's answer is no JSON               |
            | 200    | {}               | the backend server's answer has no output            |
            | 200    | [1]              | the backend server's answer has no output            |
            | 200    | a nested output  | the backend server's output is too deep              |
            | 200    | 5000000 bytes    | the backend server's answer is over 4194304 bytes    |

    Scenario: A task whose connection is closed fails and is not retried
        Given a backend server that closes the connection
        When the agent dispatches a task with a timeout of 5000 ms
        Then the task outcome is "failed"
        And the backend server received 1 request with the idempotency key "A1/0"

    Scenario: A task without a response fails after its timeout
        Given a backend server that never answers
        When the agent dispatches a task with a timeout of 50 ms
        Then the task outcome is "failed" with reason "the task did not end within 50 ms"
        And the backend server received 1 request with the idempotency key "A1/0"

    Scenario: A task is not delivered to a backend server that is not listening
        Given a backend server that is not listening
        When the agent dispatches a task with a timeout of 5000 ms
        Then the task outcome is "not-delivered"

    Scenario: The number of connections is limited to what the backend server announced
        Given a backend server that answers once 2 requests have arrived and accepts 2 connections
        When the agent dispatches 6 tasks concurrently
        Then all tasks succeed and the backend server had at most 2 concurrent connections
