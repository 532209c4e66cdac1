Feature: Differences of manifests

    Scenario Outline: Each kind of change is described
        Given the base manifest of the comparison
        When its value at "<path>" is set to <value>
        Then the only manifest change reads "<line>"

        Examples:
            | path                                  | value             | line                                                             |
            | teams.0.quota.guaranteedSlots         | 9                 | ~ team red: guaranteedSlots: 4 -> 9                              |
            | services.0.kinds.1.availabilityZones  | ["north","south"] | ~ kind library/index: availabilityZones: ["south"] -> ["north","south"] |
            | services.0.kinds.0.teams              | ["blue"]          | ~ kind library/search: teams: (absent) -> ["blue"]               |
            | availabilityZones                     | ["north","south","east"] | + availability zone east                                  |
            | teams.1.quota.maximumWaitingTasks     | 51                | ~ team blue: maximumWaitingTasks: 50 -> 51                       |
            | teams                                 | [{"name":"red","quota":{"guaranteedSlots":4,"maximumWaitingTasks":100}}] | - team blue (guaranteedSlots 2, maximumWaitingTasks 50) |

    Scenario: The order of zones, teams, services and kinds does not matter
        Given the base manifest of the comparison
        When its lists are reversed
        Then there are no manifest changes

    Scenario: Compared with no manifest, everything is added
        Given the base manifest of the comparison
        Then compared with none it adds 2 zones, 2 teams, 1 service and 2 kinds

    Scenario: The digest depends on the content, not on the text
        Given the base manifest of the comparison
        Then its digest is the same with its keys in another order
        And its digest differs when one quota is changed
