@direct
Feature: Evacuation of an availability zone

    The operator's row in the store forbids starts in a zone. Entries read it and name it to agents, which enforce it and
    pass it on to entries that the store does not serve. A process never goes back to an older state.

    Background:
        Given 6 entries and 12 workers in 3 zones, one of which may be evacuated

    Scenario: Nothing is started in an evacuated zone until it is taken back
        When 60 evenly spread jobs arrive within 1000 ms
        And the store's version 100 evacuates "zone-1", and all entries read it
        And 100 ms pass in the zones
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then no task was started in "zone-1" since 100 ms after its evacuation
        And every job in the zones was done, and no run was interrupted
        When the store's version 200 evacuates no zone, and all entries read it
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then tasks were started in "zone-1" since then
        And every job in the zones was done, and no run was interrupted

    Scenario: Runs in the zone continue to their ends
        When 6 long jobs arrive in the zones
        And the store's version 100 evacuates "zone-1", and all entries read it
        And 3000 ms pass in the zones
        Then every job in the zones was done, and no run was interrupted

    Scenario: Entries that the store turns away learn of the evacuation and of its end from agents
        When the store's version 100 evacuates "zone-1", and only entry 0 reads it
        And 400 ms pass in the zones
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then no task was started in "zone-1" since 400 ms after its evacuation
        And every job in the zones was done, and no run was interrupted
        When the store's version 200 evacuates no zone, and only entry 1 reads it
        And 400 ms pass in the zones
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then tasks were started in "zone-1" since then

    Scenario: Restarted entries and agents learn of the evacuation from the others
        When the store's version 100 evacuates "zone-1", and all entries read it
        And 100 ms pass in the zones
        And all agents but agent 0 restart, and then all entries do without reading the store
        And 1000 ms pass in the zones
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then no task was started in "zone-1" since 100 ms after its evacuation
        And the guarantees hold in the zones

    Scenario: A process with an older state does not undo a newer one
        When the store's version 100 evacuates "zone-1", and all entries read it
        And 100 ms pass in the zones
        And entry 2 is cut off
        And the store's version 200 evacuates no zone, and entries other than 2 read it
        And the store's version 300 evacuates "zone-2", and entries other than 2 read it
        And 1000 ms pass in the zones
        And entry 2 is connected again and reads the store's version 150, which evacuates "zone-1"
        And 2000 ms pass in the zones
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then tasks were started in "zone-1" since then
        And no task was started in "zone-2" since 500 ms after its evacuation

    Scenario: A store that holds no evacuation any more outweighs an agent that remembers one
        When the store's version 100 evacuates "zone-1", and all entries read it
        And 100 ms pass in the zones
        And all entries are killed and restarted, and read the store's version 900 without evacuations
        And 1500 ms pass in the zones
        And 120 evenly spread jobs arrive within 2000 ms
        And 1000 ms pass in the zones
        Then tasks were started in "zone-1" since then

    Scenario: Jobs beyond the capacity elsewhere are refused, and none is started in the zone
        When the store's version 100 evacuates "zone-0, zone-1", and all entries read it
        And 100 ms pass in the zones
        And 300 evenly spread jobs arrive within 500 ms
        And 3000 ms pass in the zones
        Then some jobs in the zones were refused within 300 ms
        And no task was started in "zone-0" since 100 ms after its evacuation
        And no task was started in "zone-1" since 100 ms after its evacuation
        And the guarantees hold in the zones

    Scenario: While every zone is evacuated, all jobs are refused soon
        When the store's version 100 evacuates "zone-0, zone-1, zone-2", and all entries read it
        And 100 ms pass in the zones
        And 20 evenly spread jobs arrive within 100 ms
        And 1000 ms pass in the zones
        Then all latest 20 jobs in the zones were refused within 300 ms
