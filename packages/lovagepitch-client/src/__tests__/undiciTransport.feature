Feature: HTTP transport of the client

    Scenario Outline: The outcome of a request depends on whether a connection was established
        Given an HTTP server for the client that will "<behaviour>"
        When the client's transport sends it a request
        Then the transport's outcome is "<outcome>"

        Examples:
            | behaviour                    | outcome   |
            | respond                      | response  |
            | close the connection         | no-answer |
            | close within the body        | no-answer |
            | not respond                  | no-answer |
            | not listen                   | not-sent  |
