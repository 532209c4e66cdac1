@direct
Feature: Direct jobs over links that carry less than the jobs need

    An entry sends no more orders than its link delivers in time, so that a load beyond the link costs only itself.

    Scenario: The link of an entry is overloaded for two seconds
        Given 1 entry and 8 workers of 64 cores, and links of 250000 bytes a second
        When 500 jobs a second arrive at entry 0 for 2000 ms
        Then entry 0 used nine tenths of its link for frames that arrived in time
        And no start arrived after the lease of its entry
        And no frame waited longer than 200 ms
        And jobs were done, and all others refused within 300 ms
        When 20 jobs a second arrive at entry 0 for 1000 ms
        Then each of the latest jobs was done within 300 ms
        And the guarantees hold over the links

    Scenario: A third more jobs than the link carries leave three quarters of what it carries
        Given 1 entry and 8 workers of 64 cores, and links of 250000 bytes a second
        When 225 jobs a second arrive at entry 0 for 2000 ms
        And the done jobs are counted
        And 300 jobs a second arrive at entry 0 for 2000 ms
        Then at least 0.75 times as many jobs were done as before
        And the guarantees hold over the links

    Scenario: Twice as many jobs as the link carries leave nine tenths of what it carries
        Given 1 entry and 8 workers of 64 cores, and links of 250000 bytes a second
        When 225 jobs a second arrive at entry 0 for 2000 ms
        And the done jobs are counted
        And 450 jobs a second arrive at entry 0 for 2000 ms
        Then at least 0.9 times as many jobs were done as before
        And the guarantees hold over the links

    Scenario: One entry has most of the clients
        Given 3 entries and 12 workers of 64 cores, and links of 250000 bytes a second
        When 400 jobs a second arrive at entry 0 and 20 jobs a second at the others for 2000 ms
        Then entry 0 used nine tenths of its link for frames that arrived in time
        And each job of the other entries was done within 300 ms
        And no start arrived after the lease of its entry
        And the guarantees hold over the links

    Scenario: A slow direction from the agents does not restrict the orders
        Given 1 entry and 8 workers of 64 cores, and links of 10000000 bytes a second
        And frames from agents take 120 ms longer
        When 50 jobs a second arrive at entry 0 for 1000 ms
        Then each job was done within 300 ms
        When 200 jobs a second arrive at entry 0 for 2000 ms
        Then each job was done within 600 ms
        And the guarantees hold over the links
