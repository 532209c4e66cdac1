@direct-partners
Feature: Partners of agents in a fleet of hundreds of instances

    Scenario: In a small deployment every agent connects to every entry
        Then each of 11 agents in 4 zones chooses all of 4 entries

    Scenario: In a fleet of hundreds the number of partners does not grow with the fleet
        Then each of 160 agents in 5 zones chooses 5 of 35 entries, 3 of them in its own zone
        And each of 960 agents in 5 zones chooses 5 of 210 entries, 3 of them in its own zone

    Scenario: The agents are spread over the entries
        Then with 160 agents and 35 entries in 5 zones each entry is chosen by 12 to 38 agents

    Scenario: An entry that goes moves only its own part
        Then when one of 35 entries goes, only agents that had chosen it choose another one, and one each

    Scenario: An agent in a zone without entries chooses entries of other zones
        Then an agent in a zone without entries chooses 5 of 35 entries

    Scenario: An entry with waiting tasks asks others for capacity after a short wait
        When 6 tasks wait from 0 ms on
        Then agents are requested first after 4 ms, 2 of them

    Scenario: While nothing is gained, an entry asks less and less often
        When 30 tasks wait from 0 ms on
        Then at most 11 requests are made within 2000 ms

    Scenario: While agents are gained, an entry goes on asking
        When 30 tasks wait from 0 ms on and each request gains an agent
        Then at least 40 requests are made within 1000 ms

    Scenario: An entry without waiting tasks asks nobody
        When 0 tasks wait from 0 ms on
        Then at most 0 requests are made within 1000 ms

    Scenario: Changes of free capacity reach an entry with waiting tasks sooner
        Then changes are reported within 10 ms to an entry with waiting tasks, and within a heartbeat to another
