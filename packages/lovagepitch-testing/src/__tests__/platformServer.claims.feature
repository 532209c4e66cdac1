Feature: Claims of callers' keys

    Scenario: Claims of one tick share a transaction
        When 150 different keys are claimed concurrently by one process
        Then the platform table has received 1 transaction
        And every claim is bound to its own submission

    Scenario: Claims that arrive during a transaction share the next one
        Given a platform table that takes 5 ms for each call
        When a key is claimed, and 100 more while its transaction is in flight
        Then the platform table has received 2 transactions
        And every claim is bound to its own submission

    Scenario: A large group is split, one transaction after the other
        When 450 different keys are claimed concurrently by one process
        Then the platform table has received 3 transactions
        And at most 1 transaction was in flight at a time
        And every claim is bound to its own submission

    Scenario: Only conflicting rows are read back
        Given 3 keys that another process has bound
        When 50 different keys are claimed concurrently by one process
        Then the platform table has received 2 transactions for them
        And 3 rows were read back
        And the 3 bound keys keep their submissions, and the others have their own

    Scenario: A service that does not name the conflicting rows
        Given 3 keys that another process has bound
        And a platform table that does not name conflicting rows
        When 50 different keys are claimed concurrently by one process
        Then the 3 bound keys keep their submissions, and the others have their own

    Scenario: Two claims of one key in one process
        When one process claims a key twice concurrently
        Then both claims have the first one's submission after 1 transaction

    Scenario: The same key with another job
        Given a key that is bound to a job
        When the key is claimed for another job
        Then the claim answers with the digest of the first job

    Scenario: Keys are scoped by team and service
        Then claims of one key by two teams and for two services have four bindings

    Scenario: More claims than the queue accepts
        Given a platform table that takes 5 ms for each call
        When a process with a queue of 10 claims receives 15 concurrently
        Then 10 claims are bound and 5 are throttled

    Scenario: The table goes down while groups of claims are queued
        Given a platform table that takes 5 ms for each call
        And a platform table that is down
        When 1000 different keys are claimed concurrently by one process
        Then every claim is unavailable after the calls of 1 group

    Scenario: A group that the service refuses
        Given a platform table that refuses transactions of more than 100 writes
        When 150 different keys are claimed concurrently by one process
        Then every claim is invalid

    Scenario Outline: A key is bound again only when its claim and its submission have expired
        Given a key bound <age> ms ago with a window of 600000 ms to a submission that expires <expiry> ms from now
        When the key is claimed again
        Then the claim has the <binding> submission

        Examples:
            | age     | expiry   | binding |
            | 0       | 600000   | first   |
            | 599000  | 1000     | first   |
            | 700000  | 1000     | first   |
            | 700000  | -1000    | first   |
            | 601000  | -31000   | first   |
            | 700000  | -31000   | second  |

    Scenario: Many processes replace one expired claim
        Given a key bound 700000 ms ago with a window of 600000 ms to a submission that expires -31000 ms from now
        When 10 processes claim the expired key concurrently
        Then all claims of the expired key have the same new submission

    Scenario: A malformed row
        Given a key whose row is malformed
        When the key is claimed again
        Then the claim is invalid and names the row
