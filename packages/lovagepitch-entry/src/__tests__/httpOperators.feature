@http
Feature: HTTP for operators

    Scenario: Readiness lists the conditions that are not met
        Given an HTTP server whose core does not respond
        And the readiness conditions "configuration" and "registry" are not met
        When a caller sends GET "/readyz"
        Then the HTTP status is 503
        And the readiness lists "configuration,registry" as missing

    Scenario: Readiness when all conditions are met
        Given an HTTP server whose core does not respond
        When a caller sends GET "/readyz"
        Then the HTTP status is 200
        And the readiness lists "" as missing

    Scenario: Status summarizes the entry
        Given an HTTP server whose core does not respond
        When a caller sends GET "/status"
        Then the HTTP status is 200
        And the HTTP body is the status of incarnation "00ff" with version 12

    Scenario Outline: The metrics contain <metric>
        Given an HTTP server whose core does not respond
        When a caller sends the bad request "a wrong type"
        And a caller sends GET "/metrics"
        Then the HTTP status is 200
        And the metrics say "<metric>" is <value>

        Examples:
            | metric                                                             | value |
            | lovagepitch_entry_waiting_tasks                                    | 5     |
            | lovagepitch_entry_known_slots                                      | 32    |
            | lovagepitch_entry_starts_total                                     | 7     |
            | lovagepitch_entry_wasted_messages_total                            | 8     |
            | lovagepitch_entry_configuration_version                            | 12    |
            | lovagepitch_entry_store_healthy                                    | 0     |
            | lovagepitch_entry_messages_sent_total                              | 0     |
            | lovagepitch_entry_refusals_total{kind="quota-exceeded"}            | 9     |
            | lovagepitch_entry_request_refusals_total{kind="malformed-request"} | 1     |

    Scenario: Totals do not grow when they are read
        Given an HTTP server whose core does not respond
        When a caller sends GET "/metrics"
        And a caller sends GET "/metrics"
        Then the metrics say "lovagepitch_entry_starts_total" is 7
