Feature: Faults of real processes and sockets

    Scenario: An entry is killed while jobs run
        Given a deployment of real processes
        When real jobs run while the first entry is killed
        Then every real job has a result and no rule is violated
        And every real job is complete, or had tasks that never started and is complete when submitted again

    Scenario: An agent is killed while jobs run, and is restarted
        Given a deployment of real processes
        When real jobs run while the first agent is killed and restarted
        Then every real job has a result and no rule is violated

    Scenario: An entry is frozen and resumed
        Given a deployment of real processes
        When real jobs run while the first entry is frozen for 2500 ms
        Then every real job has a result and no rule is violated

    Scenario: An agent is frozen and resumed
        Given a deployment of real processes
        When real jobs run while the first agent is frozen for 2500 ms
        Then every real job has a result and no rule is violated

    Scenario: Connections between callers and an entry become silent
        Given a deployment of real processes
        When real jobs run while the callers' connections become silent
        Then every real job has a result and no rule is violated
        And every real job is complete

    Scenario: Connections between the processes and the platform become silent
        Given a deployment of real processes
        When real jobs run while the platform's connections become silent
        Then every real job has a result and no rule is violated
        And every real job is complete

    Scenario: The platform is down
        Given a deployment of real processes
        When real jobs run while the platform is down
        Then every real job has a result and no rule is violated
        And every real job is complete

    Scenario: The platform loses the responses to half of its writes
        Given a deployment of real processes
        When real jobs with keys run while the platform loses half of its responses
        Then every real job has a result and no rule is violated
        And every real job is complete

    Scenario: Two operators apply a manifest concurrently
        Given a deployment of real processes
        When two operators apply a manifest concurrently
        Then one operator gets a conflict and every process has the accepted version

    Scenario: A backend server leaves under load
        Given a deployment of real processes
        When real jobs run while the first backend server drains
        Then every real job has a result and no rule is violated
        And every real job is complete

    Scenario: A planned stop of an agent under load
        Given a deployment of real processes
        When real jobs run while the first agent is shut down gracefully
        Then every real job has a result and no rule is violated
        And every real job is complete
        And the stopped process has exited without an error

    Scenario: A graceful shutdown of an entry under load
        Given a deployment of real processes
        When real jobs run while the first entry is shut down gracefully
        Then every real job has a result and no rule is violated
        And every real job is complete
        And the stopped process has exited without an error
