Feature: Faults of real processes and sockets

    Scenario: An entry is killed while jobs run
        Given a deployment of real processes
        When real jobs run while the first entry is killed
        Then every real job has a result and no rule is broken
        And every real job is complete, or had tasks that never began and is complete when submitted anew

    Scenario: An agent is killed while jobs run, and comes back
        Given a deployment of real processes
        When real jobs run while the first agent is killed and started again
        Then every real job has a result and no rule is broken

    Scenario: An entry is frozen and resumed
        Given a deployment of real processes
        When real jobs run while the first entry is frozen for 2500 ms
        Then every real job has a result and no rule is broken

    Scenario: An agent is frozen and resumed
        Given a deployment of real processes
        When real jobs run while the first agent is frozen for 2500 ms
        Then every real job has a result and no rule is broken

    Scenario: Connections between callers and an entry go silent for good
        Given a deployment of real processes
        When real jobs run while the callers' connections go silent for good
        Then every real job has a result and no rule is broken
        And every real job is complete

    Scenario: Connections between the processes and the platform go silent for good
        Given a deployment of real processes
        When real jobs run while the platform's connections go silent for good
        Then every real job has a result and no rule is broken
        And every real job is complete

    Scenario: The platform is down
        Given a deployment of real processes
        When real jobs run while the platform is down
        Then every real job has a result and no rule is broken
        And every real job is complete

    Scenario: The platform loses the answers to half of its writes
        Given a deployment of real processes
        When real jobs with keys run while the platform loses half of its answers
        Then every real job has a result and no rule is broken
        And every real job is complete

    Scenario: Two operators apply a manifest at once
        Given a deployment of real processes
        When two operators apply a manifest at once
        Then one operator is told of the other's version and every process has the accepted one

    Scenario: A backend server leaves under load
        Given a deployment of real processes
        When real jobs run while the first backend server leaves
        Then every real job has a result and no rule is broken
        And every real job is complete

    Scenario: A planned stop of an agent under load
        Given a deployment of real processes
        When real jobs run while the first agent is stopped as planned
        Then every real job has a result and no rule is broken
        And every real job is complete
        And the stopped process has ended by itself

    Scenario: A planned stop of an entry under load
        Given a deployment of real processes
        When real jobs run while the first entry is stopped as planned
        Then every real job has a result and no rule is broken
        And every real job is complete
        And the stopped process has ended by itself
