Feature: Differences of manifests

    Scenario Outline: Each kind of change is named
        Given the manifest that differences are measured from
        When its part at "<path>" becomes <value>
        Then the only manifest change reads "<line>"

        Examples:
            | path                                  | value             | line                                                             |
            | teams.0.quota.guaranteedSlots         | 9                 | ~ team red: guaranteedSlots: 4 -> 9                              |
            | services.0.kinds.1.availabilityZones  | ["north","south"] | ~ kind library/index: availabilityZones: ["south"] -> ["north","south"] |
            | services.0.kinds.0.teams              | ["blue"]          | ~ kind library/search: teams: (absent) -> ["blue"]               |
            | availabilityZones                     | ["north","south","east"] | + availability zone east                                  |
            | teams.1.quota.maximumWaitingTasks     | 51                | ~ team blue: maximumWaitingTasks: 50 -> 51                       |
            | teams                                 | [{"name":"red","quota":{"guaranteedSlots":4,"maximumWaitingTasks":100}}] | - team blue (guaranteedSlots 2, maximumWaitingTasks 50) |

    Scenario: The order of zones, teams, services and kinds makes no difference
        Given the manifest that differences are measured from
        When its lists are reversed
        Then there are no manifest changes

    Scenario: Against no manifest everything is added
        Given the manifest that differences are measured from
        Then compared with none it adds 2 zones, 2 teams, 1 service and 2 kinds

    Scenario: The digest follows the content, not the text
        Given the manifest that differences are measured from
        Then its digest is the same with its keys in another order
        And its digest is another with one quota changed
