Feature: HTTP transport of the client

    Scenario Outline: How a request over real sockets ends
        Given an HTTP server for the client that will "<behaviour>"
        When the client's transport sends it a request
        Then the transport's outcome is "<outcome>"

        Examples:
            | behaviour                    | outcome   |
            | answer                       | response  |
            | cut the connection           | no-answer |
            | cut within the answer        | no-answer |
            | stay silent                  | no-answer |
            | not listen                   | not-sent  |
