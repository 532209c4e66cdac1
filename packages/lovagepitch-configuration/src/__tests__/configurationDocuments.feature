Feature: Manifests and settings from files

    Scenario Outline: Every file of the example deployments is accepted
        When the configuration example "<deployment>" is loaded
        Then its manifest declares <zones> availability zones
        And its settings name declared availability zones only
        And its job names a declared team and kind

        Examples:
            | deployment  | zones |
            | cooperative | 3     |
            | association | 4     |

    Scenario Outline: An invalid manifest is refused with its position and a remedy
        Given the manifest of the configuration tests
        When "<old>" in its text is replaced by "<new>"
        Then the manifest is refused as "<kind>" at line <line> and path "<path>"
        And the refusal names its file and the remedy "<remedy>"

        Examples:
            | old                   | new                  | kind         | line | path                                      | remedy                          |
            | "north", "south"]     | "north", "south"     | syntax       | 3    |                                           | write JSON                      |
            | "north", "south"]     | "north", "north"]    | inconsistent | 2    | availabilityZones[1]                      | remove or rename                |
            | "guaranteedSlots": 4  | "guaranteedSlots":-1 | schema       | 4    | teams[0].quota.guaranteedSlots            | use at least 0                  |
            | "guaranteedSlots": 4  | "slots": 4           | schema       | 4    | teams[0].quota.guaranteedSlots            | add a number                    |
            | "guaranteedSlots": 4  | "guaranteedSlots":"4"| schema       | 4    | teams[0].quota.guaranteedSlots            | use a number                    |
            | "name": "blue"        | "name": "red"        | inconsistent | 5    | teams[1].name                             | remove or rename                |
            | "name": "blue"        | "name": "red team"   | schema       | 5    | teams[1].name                             | use 1 to 64 letters             |
            | "name": "index"       | "name": "search"     | inconsistent | 15   | services[0].kinds[1].name                 | remove or rename                |
            | "teams": ["red"]      | "teams": ["green"]   | inconsistent | 16   | services[0].kinds[1].teams[0]             | add it to "teams"               |
            | ["south"]             | ["east"]             | inconsistent | 15   | services[0].kinds[1].availabilityZones[0] | add it to "availabilityZones"   |
            | ["south"]             | []                   | schema       | 15   | services[0].kinds[1].availabilityZones    | use at least 1 items            |
            | "maximumCores": 3     | "maximumCores": 0    | schema       | 17   | services[0].kinds[1].maximumCores         | use more than 0                 |
            | "maximumCores": 3     | "cores": 3           | schema       | 17   | services[0].kinds[1].cores                | remove it or correct            |
            | "maximumCores": 3     | "teams": ["blue"]    | syntax       | 17   | services[0].kinds[1].teams                | keep one of them                |
            | "maximumCores": 3     | "__proto__": {}      | schema       | 17   | services[0].kinds[1].__proto__            | remove it or correct            |
            | "maximumCores": 3     | "maximumCores": 1e999| schema       | 17   | services[0].kinds[1].maximumCores         | use a number                    |

    Scenario Outline: A text that exceeds a limit is refused without being parsed
        When a manifest text of <count> times "<part>" is parsed
        Then the manifest is refused as "too-large" at path ""

        Examples:
            | count   | part |
            | 100000  | [    |
            | 100000  | {"a" |
            | 2000000 | x    |

    Scenario: A text that ends within a comment is refused
        When a manifest text of 1 times "1e9/*" is parsed
        Then the manifest is refused as "syntax" at path ""

    Scenario Outline: Settings with a default are optional
        When the minimal "<role>" settings are loaded
        Then the setting "<name>" of the configuration tests is <value>

        Examples:
            | role     | name                               | value               |
            | entry    | logLevel                           | "info"              |
            | entry    | resubmissionWindowMilliseconds     | 600000              |
            | entry    | manifestPollMilliseconds           | 2000                |
            | entry    | registrationRenewMilliseconds      | 10000               |
            | entry    | maximumBodyBytes                   | 4194304             |
            | entry    | maximumWaitingTasks                | 20000               |
            | entry    | maximumAnswerBytes                 | 67108864            |
            | entry    | policy.startOrder                  | "shortest-remaining" |
            | entry    | policy.bids                        | 2                   |
            | entry    | policy.maximumEjectedShare         | 0.3                 |
            | entry    | platform.requestTimeoutMilliseconds | 2000               |
            | entry    | platform.writesPerSecond           | 20                  |
            | entry    | platform.readsPerSecond            | 50                  |
            | agent    | manifestPollMilliseconds           | 4000                |
            | agent    | registrationRenewMilliseconds      | 60000               |
            | agent    | standByLimit                       | 3                   |
            | agent    | maximumLedgerBytes                 | 16777216            |
            | agent    | backendServerTimeoutMilliseconds   | 5000                |
            | agent    | platform.writesPerSecond           | 1                   |
            | agent    | platform.readsPerSecond            | 2                   |
            | operator | platform.writesPerSecond           | 5                   |
            | operator | platform.readsPerSecond            | 20                  |

    Scenario Outline: Invalid settings are refused
        When the minimal "<role>" settings are loaded with "<name>" set to <value>
        Then the settings are refused at path "<name>"

        Examples:
            | role     | name                      | value                      |
            | entry    | address                   | "localhost"                |
            | entry    | port                      | 65536                      |
            | entry    | callerPort                | "80"                       |
            | entry    | submissionKey             | "short"                    |
            | entry    | logLevel                  | "loud"                     |
            | entry    | maximumWaitingTasks       | 0                          |
            | entry    | localPort                 | 1                          |
            | entry    | availabilityZone          | "a zone"                   |
            | agent    | cores                     | 0                          |
            | agent    | standByLimit              | 1.5                        |
            | agent    | callerPort                | 1                          |
            | operator | entries                   | []                         |
            | operator | submissionKey             | "01234567890123456789012345678901" |

    Scenario: The committed JSON Schemas match the code
        Then each file in the directory "schemas" equals the generated schema
