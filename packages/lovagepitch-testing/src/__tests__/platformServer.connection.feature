Feature: HTTP requests to the platform

    Scenario Outline: A write is sent once when the service <failure>
        Given a scripted platform that <failure> for every request
        When a row is written through the connection
        Then the connection's result is "unavailable" after 1 request

        Examples:
            | failure                |
            | answers 500            |
            | answers 503            |
            | answers 429            |
            | closes the connection  |
            | truncates the response |

    Scenario Outline: A read is repeated when the service <failure>
        Given a scripted platform that <failure> for 2 requests
        When a row is read through the connection
        Then the connection's result is "ok" after 3 requests

        Examples:
            | failure                |
            | answers 503            |
            | closes the connection  |
            | truncates the response |

    Scenario: Retries stay within their budget
        Given a scripted platform that answers 503 for every request
        When a row is read 200 times through the connection
        Then the scripted platform has received at most 226 requests

    Scenario: The platform does not listen on its address
        Given a platform that has stopped
        When a row is written through the connection
        Then the connection's result is "unavailable"

    Scenario: A read on a connection without responses is repeated on another connection
        Given a scripted platform that never responds on the first connection
        When a row is read through the connection
        Then the connection's result is "ok" after 2 requests

    Scenario: A connection without responses is not used again after a write
        Given a scripted platform that never responds on the first connection
        When a row is written through the connection
        Then the connection's result is "unavailable" after 1 request
        When a row is read through the connection
        Then the connection's result is "ok" after 2 requests

    Scenario Outline: An unexpected response to a <request>: <status> <body>
        Given a scripted platform that answers <status> with '<body>'
        When a row is <request> through the connection
        Then the connection's result is "<kind>" after 1 request

        Examples:
            | request | status | body                                   | kind        |
            | read    | 200    | {}                                     | invalid     |
            | read    | 200    | no JSON                                | invalid     |
            | read    | 200    | {"row":{"key":"k","value":1,"etag":5}} | invalid     |
            | read    | 404    | <html>not here</html>                  | invalid     |
            | read    | 404    | {"absent":true}                        | ok          |
            | read    | 302    | {}                                     | invalid     |
            | listed  | 200    | {"rows":{}}                            | invalid     |
            | listed  | 404    | {"absent":true}                        | invalid     |
            | written | 200    | {}                                     | unavailable |
            | written | 200    | no JSON                                | unavailable |
            | written | 200    | {"etags":[]}                           | unavailable |
            | written | 200    | {"etags":["1","2"]}                    | unavailable |
            | written | 409    | {}                                     | unavailable |
            | written | 409    | {"conflictingKeys":["row"]}            | conflict    |
            | written | 400    | {}                                     | invalid     |
            | written | 404    | {}                                     | invalid     |

    Scenario Outline: A response that is too large, to a <request>
        Given a scripted platform that answers 200 with 'a long answer'
        When a <request> that accepts 5 bytes is sent
        Then the connection's result is "<kind>" after 1 request

        Examples:
            | request | kind        |
            | read    | invalid     |
            | write   | unavailable |

    Scenario Outline: <requests> beyond the process's rate limit
        Given a connection with 2 reads and 2 writes a second and a deadline of 2400 ms
        When 6 <requests> are made at one instant through it
        Then 4 of them are made after waits of 0, 0, 500 and 1000 ms
        And 2 of them are throttled without being sent

        Examples:
            | requests |
            | reads    |
            | writes   |

    Scenario: A read whose deadline passes before it can be repeated
        Given a scripted platform that answers 503 for every request
        And backoff that lasts longer than the connection's deadline
        When a row is read through the connection
        Then the connection's result is "unavailable" after 1 request

    Scenario: A read that the process's rate limit does not allow to be repeated
        Given a scripted platform that answers 503, and a connection with 1 read a second and a deadline of 500 ms
        When a row is read through the connection
        Then the connection's result is "unavailable" after 1 request

    Scenario: A transaction that is too large is not sent
        Given a scripted platform that answers 503 for every request
        When a transaction of 1001 rows is written through the connection
        Then the connection's result is "invalid" after 0 requests

    Scenario: Faults are set and cleared by requests
        Given a running stand-in of the platform
        When the fault request '{"down":true}' is sent
        Then the stand-in answers a read with status 503
        When the faults are cleared by a request
        Then the stand-in answers a read with status 404

    Scenario Outline: The stand-in refuses <body>
        Given a running stand-in of the platform
        Then the stand-in answers the fault request '<body>' with status 400

        Examples:
            | body           |
            | {"unknown":1}  |
            | {"down":"yes"} |
            | [true]         |
            | null           |
            | no JSON        |

    Scenario Outline: The stand-in refuses the transaction <body>
        Given a running stand-in of the platform
        Then the stand-in answers the transaction '<body>' with status 400

        Examples:
            | body                                                  |
            | {}                                                    |
            | {"writes":[]}                                         |
            | {"writes":[{"key":"","condition":{"kind":"absent"}}]} |
            | {"writes":[{"key":"a","condition":{"kind":"never"}}]} |
            | no JSON                                               |

    Scenario: The stand-in keeps working after aborted uploads and malformed paths
        Given a running stand-in of the platform
        When an upload to the stand-in is aborted
        And the stand-in receives a read of the path "/rows/%E0%A4%A"
        Then the stand-in answers a read with status 404
