Feature: Tasks handed to the backend server

    Scenario: A task succeeds with its output
        Given a backend server that answers 200 with {"output":{"watered":true}}
        When the agent hands over a task of 5000 ms
        Then the task "succeeded"
        And the backend server got 1 request with the key "A1/0"

    Scenario: An output of null is an output
        Given a backend server that answers 200 with {"output":null}
        When the agent hands over a task of 5000 ms
        Then the task "succeeded"

    Scenario Outline: An answer that cannot be used is a failure and not repeated
        Given a backend server that answers <status> with <body>
        When the agent hands over a task of 5000 ms
        Then the task "failed" because "<reason>"
        And the backend server got 1 request with the key "A1/0"

        Examples:
            | status | body             | reason                                               |
            | 500    | {}               | the backend server answered with status 500          |
            | 503    | {"output":1}     | the backend server answered with status 503          |
            | 302    | {}               | the backend server answered with status 302          |
            | 200    | no JSON          | the backend server's answer is no JSON               |
            | 200    | {}               | the backend server's answer has no output            |
            | 200    | [1]              | the backend server's answer has no output            |
            | 200    | a nested output  | the backend server's output is too deep              |
            | 200    | 5000000 bytes    | the backend server's answer is over 4194304 bytes    |

    Scenario: A connection that is cut is a failure and not repeated
        Given a backend server that cuts the connection
        When the agent hands over a task of 5000 ms
        Then the task "failed"
        And the backend server got 1 request with the key "A1/0"

    Scenario: A silent backend server is a failure after the task's time
        Given a backend server that never answers
        When the agent hands over a task of 50 ms
        Then the task "failed" because "the task did not end within 50 ms"
        And the backend server got 1 request with the key "A1/0"

    Scenario: A backend server that is gone did not get the task
        Given a backend server that is gone
        When the agent hands over a task of 5000 ms
        Then the task "not-delivered"

    Scenario: At most as many connections as the backend server offers
        Given a backend server that answers when 2 requests have come, of 2 connections
        When the agent hands over 6 tasks at once
        Then all tasks succeed and the backend server saw at most 2 connections at once
