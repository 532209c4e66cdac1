Feature: Limits on requests to the platform

    Scenario: A token bucket grants its capacity immediately and then its rate
        Given a token bucket of 10 tokens a second that holds 3
        Then tokens are granted after 0, 0, 0, 100, 200 ms
        When 1000 ms pass for the token bucket
        Then tokens are granted after 0, 0, 0, 100 ms

    Scenario: A token is refused when the wait for it would be too long
        Given a token bucket of 10 tokens a second that holds 1
        Then tokens are granted after 0, 100, 200 ms
        And a token within 250 ms is refused
        And tokens are granted after 300 ms

    Scenario: A clock that is set back does not reduce the tokens
        Given a token bucket of 10 tokens a second that holds 2
        When the token bucket's clock is set back by 5000 ms
        Then tokens are granted after 0, 0, 100 ms

    Scenario: A retry budget allows retries for a share of the requests
        Given a retry budget of 0.1 a request whose first retries are used up
        When 100 requests are counted in the retry budget
        Then the retry budget allows between 9 and 10 retries

    Scenario: The number of unused retries is limited
        Given a retry budget of 0.1 a request whose first retries are used up
        When 10000 requests are counted in the retry budget
        Then the retry budget allows between 20 and 20 retries
