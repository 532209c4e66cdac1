Feature: Routes of earlier versions of the configuration

    Scenario: The newest former routes are remembered, up to a limit
        Given 12 versions of the configuration, each with 1000 routes of its own
        Then the routes of versions 2 to 11 are former ones, and those of versions 1 and 12 are not

    Scenario: A route that the operator adds again is no former one
        Given 2 versions of the configuration, each with 3 routes of its own
        When the routes of version 1 are in force again
        Then the routes of versions 2 to 2 are former ones, and those of versions 1 and 1 are not
