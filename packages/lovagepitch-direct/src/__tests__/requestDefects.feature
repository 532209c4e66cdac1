@request-defects
Feature: Defects in the processing of a request

    # Guards against a process that ends, with all jobs of other callers, because of an error while one request is processed.
    Scenario Outline: An error <when> costs only its request
        Given an HTTP server whose processing of "/defect" throws an error <when>
        When a client requests "/defect"
        Then the client gets <outcome>
        And the log has 1 line of at most 2500 characters with the error
        When a client requests "/other"
        Then the client gets status 200

        Examples:
            | when                        | outcome                |
            | at its headers              | status 500             |
            | at the end of its body      | status 500             |
            | after the response began    | an incomplete response |
