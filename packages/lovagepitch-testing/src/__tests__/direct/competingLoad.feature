@direct
Feature: Queues that compete for room in a burst with a seventh of the workers lost

    Scenario: A burst of the usual queue does not take the room of the queue with the largest jobs
        When the competing mix with a burst of its usual queue runs for 3 s without shares
        And the same load runs with all of the room assured
        Then the shares raise the worth of the long queue by at least 0.1
        And the shares do not lower the worth of the load
        And the guarantees of the competing load hold

    Scenario: One entry alone sees most of a burst
        When the competing mix with a burst of its usual queue, half of it at one entry, runs for 3 s without shares
        And the same load runs with all of the room assured
        Then the shares raise the worth of the long queue by at least 0.1
        And the guarantees of the competing load hold

    Scenario: Callers that will not be served are told earlier, and the worth of the load does not fall
        When the competing mix with a burst of its usual queue runs for 3 s without early refusals
        And the same load runs with early refusals
        Then half of the refusals of the long queue come at least 100 ms earlier
        And early refusals do not lower the worth of the load
        And the guarantees of the competing load hold
