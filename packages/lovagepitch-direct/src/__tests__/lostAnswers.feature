@direct-policies
Feature: Calls to a worker that get no answer

    Load pattern: a share of the calls to every worker gets no answer, and some of these are carried out seconds later, while
    the workers serve everything else at once. The callers of short jobs allow 60 ms beyond the run time.

    Scenario: An order without an answer is repeated in time for a short job
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 31 ms
        Then the start order was sent 2 times

    Scenario: The delay before an order is repeated follows the observed answer times
        Given an agent with a worker that has answered 20 orders after 2 ms each
        When a start order gets no answer for 11 ms
        Then the start order was sent 2 times

    Scenario: Orders to a worker that answers slowly are not repeated
        Given an agent with a worker that has answered 20 orders after 25 ms each
        When a start order gets no answer for 26 ms
        Then the start order was sent 1 times

    Scenario: A run that the repeated order has started is not revoked when the first call times out
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 31 ms
        And the worker answers "accepted"
        And the worker answers "unknown"
        And the next view lists the run as running
        Then no stop order was sent
        And no end was reported

    Scenario: A start is revoked when neither order has an answer and the worker does not list the run
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 31 ms
        And the worker answers "unknown"
        And the worker answers "unknown"
        And the next view lists no run
        Then a stop order was sent
        And no end was reported

    Scenario: A run that ended before the repeated order arrived is reported with its own end
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 31 ms
        And the worker answers "superseded"
        And the next view lists the run as succeeded
        Then the end "succeeded" was reported

    Scenario: A rejection of the repeated order is not taken as proof that the run has not started
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 31 ms
        And the worker answers "rejected"
        And the next view lists no run
        Then a stop order was sent
        And no end was reported

    Scenario: A run whose worker restarts before the repeated order arrives may have started
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 31 ms
        And the worker answers "other-incarnation"
        Then the end "lost" was reported

    Scenario: A run whose only order reaches another incarnation of the worker has not started
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 5 ms
        And the worker answers "other-incarnation"
        Then the end "not-started" was reported

    Scenario: A rejection of the only order is reported at once
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 5 ms
        And the worker answers "rejected"
        Then the end "not-started" was reported

    Scenario: One view without an answer does not close the worker
        Given an agent with a worker that has answered no order yet
        When 1 views get no answer
        Then the agent accepts a start order
        And the latest view call waits 0 ms and extends no lease

    Scenario: No order is repeated to a worker that does not respond, and the agent does not wake for it
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 5 ms
        And 2 views get no answer
        And 30 ms pass for the agent's orders
        Then the start order was sent 1 times
        And the agent woke at most 5 times meanwhile

    Scenario: Two views in a row without an answer close the worker
        Given an agent with a worker that has answered no order yet
        When 2 views get no answer
        Then the agent declines a start order

    Scenario: After a view without an answer, the next views wait for a shorter time
        Given an agent with a worker that has answered no order yet
        When a start order gets no answer for 1 ms
        And the worker answers "accepted"
        And 1 views get no answer
        And the next view lists the run as running
        Then the latest view call waits 25 ms and extends the lease
