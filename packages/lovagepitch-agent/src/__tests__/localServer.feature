Feature: The local port of an agent

    Scenario: A backend server announces itself and leaves
        Given the agent's local port
        When the backend server announces 8 slots
        Then the local port answers 200
        And the agent has received an announcement of 8 slots
        When the backend server deletes its announcement
        Then the local port answers 200
        And the agent has been notified that the backend server leaves

    Scenario Outline: An invalid announcement is rejected and the local port keeps serving
        Given the agent's local port
        When the backend server puts <body>
        Then the local port answers <status>
        And the agent has received no announcement
        When the backend server announces 8 slots
        Then the local port answers 200

        Examples:
            | body                                                                                   | status |
            | invalid JSON                                                                           | 400    |
            | an empty body                                                                          | 400    |
            | a body of 70000 bytes                                                                  | 413    |
            | {}                                                                                     | 400    |
            | [1]                                                                                    | 400    |
            | {"url":"http://127.0.0.1:1","slots":0,"connections":4,"services":["alerts"]}           | 400    |
            | {"url":"http://127.0.0.1:1","slots":1.5,"connections":4,"services":["alerts"]}         | 400    |
            | {"url":"http://127.0.0.1:1","slots":8,"connections":4,"services":[]}                   | 400    |
            | {"url":"http://127.0.0.1:1","slots":8,"connections":4,"services":["a b"]}              | 400    |
            | {"url":"ftp://127.0.0.1:1","slots":8,"connections":4,"services":["alerts"]}            | 400    |
            | {"url":"http://127.0.0.1:1/x","slots":8,"connections":4,"services":["alerts"]}         | 400    |
            | {"url":"http://127.0.0.1:1","slots":8,"connections":4,"services":["alerts"],"more":1}  | 400    |

    Scenario: Random request bodies do not crash the process
        Given the agent's local port
        Then 150 random bodies from seed 7 are answered by the local port

    Scenario: Endpoints for operators
        Given the agent's local port
        Then the local port answers 200 to "/healthz"
        And the local port answers 503 to "/readyz"
        And the local port answers 200 to "/status"
        And the local port answers 200 to "/metrics"
        And the local port answers 404 to "/v1/other"
        And the local port answers 404 to "/%E0%A4%A"

    Scenario: The metrics contain the agent's counters
        Then the agent's metrics have "lovagepitch_agent_starts_total 1"
        And the agent's metrics have "lovagepitch_agent_refusals_total{reason="busy"} 2"
        And the agent's metrics have "lovagepitch_agent_links_batches_sent_total 0"
