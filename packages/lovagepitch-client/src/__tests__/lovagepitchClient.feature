Feature: Client

    Scenario Outline: Running one job under issued ids
        Given a client with "issued-ids" and two entries that respond with "<script>"
        When the client runs a job
        Then the client's result is "<result>"
        And the client's requests were "<requests>"
        And every attempt of one identity carried the same body

        Examples:
            | script                                                     | result   | requests                |
            | ids 1; complete                                            | complete | ids A, s1 A             |
            | ids 1; failed                                              | failed   | ids A, s1 A             |
            | unsent; ids 1; complete                                    | complete | ids A, ids B, s1 B      |
            | ids 1; unsent; complete                                    | complete | ids A, s1 A, s1 B       |
            | ids 1; cut; complete                                       | complete | ids A, s1 A, s1 B       |
            | ids 1; silent; complete                                    | complete | ids A, s1 A, s1 B       |
            | ids 1; balancer; complete                                  | complete | ids A, s1 A, s1 B       |
            | ids 1; partial; complete                                   | complete | ids A, s1 A, s1 B       |
            | ids 1; strange; complete                                   | complete | ids A, s1 A, s1 B       |
            | ids 1; cut; cut; unsent; complete                          | complete | ids A, s1 A, s1 B, s1 A, s1 B |
            | ids 1; 503 keeper-unreachable unknown-yet after=1; complete | complete | ids A, s1 A, s1 B      |
            | ids 1; 503 keeper-unreachable unknown-yet; complete        | complete | ids A, s1 A, s1 B       |
            | ids 1; 503 overloaded not-run after=1 next; complete       | complete | ids A, s1 A, s2 A       |
            | ids 1; 429 quota-exceeded not-run after=1 next; complete   | complete | ids A, s1 A, s2 A       |
            | ids 1; 503 overloaded not-run after=1; complete            | complete | ids A, s1 A, s1 B       |
            | ids 1; 503 keeper-unreachable not-run next; complete       | complete | ids A, s1 A, s2 A       |
            | ids 1; cut; 503 keeper-unreachable not-run next; complete  | complete | ids A, s1 A, s1 B, s2 B |
            | ids 1; 503 stopping not-run after=1 next; ids 1; complete  | complete | ids A, s1 A, ids B, s3 B |
            | ids 1; 503 outcome-unknown may-have-run after=1 next; complete | complete | ids A, s1 A, s1 B   |
            | ids 1; 410 outcome-unknown may-have-run                    | unknown  | ids A, s1 A             |
            | ids 1; 503 outcome-unknown may-have-run next               | unknown  | ids A, s1 A             |
            | ids 1; 422 submission-mismatch unknown-yet next            | unknown  | ids A, s1 A             |
            | ids 1; 400 malformed-request not-run next                  | refused  | ids A, s1 A             |
            | ids 1; 400 malformed-request unknown-yet                   | refused  | ids A, s1 A             |
            | ids 1; 413 body-too-large unknown-yet                      | refused  | ids A, s1 A             |
            | ids 1; cut; 413 body-too-large unknown-yet                 | unknown  | ids A, s1 A, s1 B       |
            | ids 1; 422 task-too-large not-run next                     | refused  | ids A, s1 A             |
            | ids 1; 503 overloaded not-run after=60 next                | refused  | ids A, s1 A             |

    Scenario Outline: Running one job under a caller's key
        Given a client with "caller-keys" and two entries that respond with "<script>"
        When the client runs a job under <key>
        Then the client's result is "<result>"
        And the client's requests were "<requests>"

        Examples:
            | script                                              | key             | result   | requests     |
            | complete                                            | the key "k1"    | complete | key A        |
            | cut; complete                                       | the key "k1"    | complete | key A, key B |
            | 503 platform-unavailable unknown-yet after=1; complete | the key "k1" | complete | key A, key B |
            | 503 overloaded not-run after=1 next                 | the key "k1"    | refused  | key A        |
            | 503 overloaded not-run after=1 next; complete       | a key of its own | complete | key A, s1 A |
            | 503 keeper-unreachable not-run next                 | the key "k1"    | refused  | key A        |
            | 503 keeper-unreachable not-run next; complete       | a key of its own | complete | key A, s1 A |
            | 400 malformed-request unknown-yet                   | the key "k1"    | unknown  | key A        |
            | 422 submission-mismatch unknown-yet                 | the key "k1"    | unknown  | key A        |

    Scenario Outline: A job that reaches its time limit is refused only if no task can have run
        Given a client with "<identity>" and two entries that respond with "<script>"
        When the client runs a job under <key> for at most <limit> ms
        Then the client's result is "<result>"
        And the client's clock has advanced by at most <limit> ms

        Examples:
            | identity    | script                                              | key              | limit | result  |
            | issued-ids  | ids 1; unsent                                       | a key of its own | 3000  | refused |
            | issued-ids  | unsent                                              | a key of its own | 3000  | refused |
            | issued-ids  | ids 1; cut; unsent                                  | a key of its own | 3000  | unknown |
            | issued-ids  | ids 1; silent                                       | a key of its own | 3000  | unknown |
            | issued-ids  | ids 1; 503 overloaded not-run after=1 next          | a key of its own | 3000  | refused |
            | issued-ids  | ids 1; 503 keeper-unreachable unknown-yet after=1   | a key of its own | 3000  | unknown |
            | caller-keys | unsent                                              | the key "k1"     | 3000  | unknown |
            | caller-keys | unsent                                              | a key of its own | 3000  | refused |
            | caller-keys | 503 platform-unavailable unknown-yet after=1        | the key "k1"     | 3000  | unknown |
            | caller-keys | 503 platform-unavailable unknown-yet after=1; cut; unsent | the key "k1" | 3000 | unknown |
            | issued-ids  | ids 1; 503 overloaded not-run after=1; cut; unsent  | a key of its own | 4000  | unknown |

    Scenario: The client waits for the time of Retry-After plus jitter
        Given a client with "issued-ids" and two entries that respond with "ids 1; 503 keeper-unreachable unknown-yet after=2; complete"
        When the client runs a job
        Then the client waited between 2000 and 2100 ms once

    Scenario: The backoff doubles up to its maximum
        Given a client with "issued-ids" and two entries that respond with "ids 1; cut"
        When the client runs a job under a key of its own for at most 60000 ms
        Then the client's waits are at most 2000 ms and their upper bound doubles from 50 ms

    Scenario: An attempt without a response is retried after the attempt timeout
        Given a client with "issued-ids" and two entries that respond with "ids 1; silent; complete"
        And the client's attempt timeout is 400 ms
        When the client runs a job
        Then the client's result is "complete"
        And the client's clock has advanced by at most 450 ms

    Scenario: Ids received with answers are used without another request for ids
        Given a client with "issued-ids" and two entries that respond with "ids 1; complete next; complete next; complete next"
        When the client runs 3 jobs one after another
        Then the client's requests were "ids A, s1 A, s2 A, s3 A"
        And the client counted 1 id request, 3 submissions and 0 resubmissions

    Scenario: Concurrent jobs share a batch of ids
        Given a client with "issued-ids" and two entries that respond with "ids 20; complete"
        When the client runs 20 jobs at once
        Then the client counted 1 id request, 20 submissions and 0 resubmissions
        And no id was used twice

    Scenario: Expired ids are not used
        Given a client with "issued-ids" and two entries that respond with "ids 2; complete; ids 1; complete"
        When the client runs a job
        And the client's clock advances by 240001 ms
        And the client runs a job
        Then the client's requests were "ids A, s1 A, ids B, s3 B"

    Scenario: Under random faults a job starts at most once and its result is correct
        Then 3000 jobs against entries with random faults from seed 21 start at most once and have correct results
