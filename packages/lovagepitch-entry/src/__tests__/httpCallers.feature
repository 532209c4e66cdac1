@http
Feature: HTTP for callers

    Scenario Outline: Submission ids are issued: <query>
        Given an HTTP server whose core issues ids
        When a caller sends POST "/v1/submissions<query>"
        Then the HTTP status is 201
        And the core was asked to issue <count> ids
        And the HTTP body lists the submissions

        Examples:
            | query       | count |
            |             | 1     |
            | ?count=1    | 1     |
            | ?count=1000 | 1000  |

    Scenario Outline: An invalid count is refused: <query>
        Given an HTTP server whose core issues ids
        When a caller sends POST "/v1/submissions?<query>"
        Then the HTTP status is 400
        And the HTTP body is a problem "malformed-request" with execution "not-run"
        And no input reached the core

        Examples:
            | query           |
            | count=0         |
            | count=1001      |
            | count=-1        |
            | count=1.5       |
            | count=abc       |
            | count=          |
            | count=1&count=2 |
            | count=%ff       |
            | count=1e3       |

    Scenario Outline: The whole answer of the core is sent: <state>
        Given an HTTP server whose core answers "<state>"
        When a caller sends a job with <request>
        Then the HTTP status is 200
        And the HTTP body is the core's answer
        And the HTTP header "lovagepitch-next-submission" is "next-1"
        And the core received "<input>" with the job

        Examples:
            | state    | request                        | input         |
            | complete | PUT "/v1/submissions/id-1"     | submit        |
            | failed   | PUT "/v1/submissions/id-1"     | submit        |
            | complete | POST "/v1/jobs"                | submitWithKey |
            | failed   | POST "/v1/jobs"                | submitWithKey |

    Scenario: A job may be sent with a charset parameter and in several writes
        Given an HTTP server whose core answers "complete"
        When a caller sends a job in three writes
        Then the raw HTTP response has status 200

    Scenario: A query before the final answer returns the progress
        Given an HTTP server whose core reports progress
        When a caller sends GET "/v1/submissions/id-1"
        Then the HTTP status is 200
        And the HTTP body has "state" "running"
        And the core received "query" for "id-1"

    Scenario: A cancellation returns the final answer
        Given an HTTP server whose core answers "failed"
        When a caller sends DELETE "/v1/submissions/id-1"
        Then the HTTP status is 200
        And the HTTP body has "state" "failed"
        And the core received "cancel" for "id-1"

    Scenario Outline: A refusal of the core becomes a problem document
        Given an HTTP server whose core refuses with status 503 and a retry delay of <milliseconds> ms
        When a caller sends GET "/v1/submissions/id-1"
        Then the HTTP status is 503
        And the HTTP body is a problem "platform-unavailable" with execution "unknown-yet"
        And the problem's type, title, detail, remedy and nextSubmission are present
        And the HTTP header "retry-after" is "<seconds>"
        And the HTTP header "content-type" is "application/problem+json"
        And the HTTP header "lovagepitch-next-submission" is "next-2"

        Examples:
            | milliseconds | seconds |
            | 0            | 1       |
            | 1            | 1       |
            | 1000         | 1       |
            | 1001         | 2       |
            | 5400         | 6       |

    Scenario Outline: An invalid request is refused and the server keeps serving: <case>
        Given an HTTP server whose core answers "complete"
        When a caller sends the bad request "<case>"
        Then the HTTP status is <status>
        And the HTTP body is a problem "<kind>" with execution "<execution>"
        And no input reached the core
        And the HTTP server is healthy

        Examples:
            | case                        | status | kind              | execution   |
            | PUT of bad JSON             | 400    | malformed-request | unknown-yet |
            | PUT of an unknown field     | 400    | malformed-request | unknown-yet |
            | PUT of a wrong type         | 400    | malformed-request | unknown-yet |
            | PUT of no body              | 415    | malformed-request | unknown-yet |
            | PUT of an empty body        | 400    | malformed-request | unknown-yet |
            | PUT of text                 | 415    | malformed-request | unknown-yet |
            | PUT of compressed bytes     | 415    | malformed-request | unknown-yet |
            | PUT of broken UTF-8         | 400    | malformed-request | unknown-yet |
            | PUT of a deep payload       | 400    | malformed-request | unknown-yet |
            | PUT of a deep body          | 400    | malformed-request | unknown-yet |
            | PUT of a large body         | 413    | body-too-large    | unknown-yet |
            | PUT of a far too large body | 413    | body-too-large    | unknown-yet |
            | POST of bad JSON            | 400    | malformed-request | unknown-yet |
            | POST of a large body        | 413    | body-too-large    | unknown-yet |
            | POST without a key          | 400    | malformed-request | not-run     |
            | POST with a long key        | 400    | malformed-request | not-run     |
            | POST with a non-ASCII key   | 400    | malformed-request | not-run     |
            | a wrong path                | 404    | malformed-request | not-run     |
            | an unknown subpath          | 404    | malformed-request | not-run     |
            | a wrong method              | 405    | malformed-request | not-run     |

    Scenario: A wrong method names the allowed ones
        Given an HTTP server whose core answers "complete"
        When a caller sends POST "/v1/submissions/id-1"
        Then the HTTP status is 405
        And the HTTP header "allow" is "GET, PUT, DELETE"

    Scenario Outline: Bytes that are not an HTTP request are refused and the server keeps serving: <case>
        Given an HTTP server whose core answers "complete"
        When a caller sends the bytes "<case>"
        Then the raw HTTP response has status <status>
        And no input reached the core
        And the HTTP server is healthy

        Examples:
            | case             | status |
            | noise            | 400    |
            | large header     | 431    |
            | two lengths      | 400    |
            | negative length  | 400    |
            | bad chunk        | 400    |

    Scenario: A caller that closes its connection is removed and a late answer is discarded
        Given an HTTP server whose core does not respond
        When a caller sends a job and closes its connection
        Then the core is informed that the caller's request was closed
        And a late answer has no effect

    Scenario: A caller that closes its connection within the body does not reach the core
        Given an HTTP server whose core answers "complete"
        When a caller closes its connection within the body of a job
        Then no input reached the core
        And the HTTP server is healthy

    Scenario: Requests above the maximum number of waiting requests are refused
        Given an HTTP server with at most 1 waiting request whose core does not respond
        When a caller sends a job and waits
        And a caller sends GET "/v1/submissions/id-2"
        Then the HTTP status is 503
        And the HTTP body is a problem "overloaded" with execution "unknown-yet"
        And the HTTP header "retry-after" is "1"

    Scenario: An internal error is answered and the server keeps serving
        Given an HTTP server whose core throws an error
        When a caller sends GET "/v1/submissions/id-1"
        Then the HTTP status is 500
        And the HTTP body is a problem "outcome-unknown" with execution "unknown-yet"
        And the internal error is logged
        And the HTTP server is healthy

    Scenario: A shutdown interrupts no request
        Given an HTTP server whose core does not respond
        When a caller sends a job and waits
        And the HTTP server starts to close
        And the core answers the waiting caller
        Then the waiting caller receives status 200
        And the HTTP server has closed

    Scenario Outline: Random requests are answered with 4xx and the server keeps serving: seed <seed>
        Given an HTTP server whose core knows no submission
        When callers send 400 random requests with seed <seed>
        Then every HTTP status is from 400 to 499
        And the HTTP server is healthy

        Examples:
            | seed  |
            | 1     |
            | 20261 |
