Feature: Outcomes and announcements of an agent

    Scenario: Outcomes of one tick are sent in one message
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And the agent's messages are counted from here
        And task 0 of A1 ends as "succeeded"
        Then the agent sent entry A "reportTasks" since then

    Scenario: An outcome is resent until it is acknowledged
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And 299 ms pass at the agent
        Then the agent sent entry A the outcome of task 0 of A1 1 time
        When 1 ms pass at the agent
        Then the agent sent entry A the outcome of task 0 of A1 2 times
        When 600 ms pass at the agent
        Then the agent sent entry A the outcome of task 0 of A1 3 times
        When entry A acknowledges task 0 of A1
        And 20000 ms pass at the agent
        Then the agent sent entry A the outcome of task 0 of A1 3 times

    Scenario: Outcomes are resent less often to an unreachable owner, and immediately once it is reachable
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry A becomes unreachable for the agent
        And 10300 ms pass at the agent
        Then the agent sent entry A the outcome of task 0 of A1 3 times
        When entry A pings the agent
        Then the agent sent entry A the outcome of task 0 of A1 4 times

    Scenario: Outcomes are not resent after the resubmission window
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And 601000 ms pass at the agent with heartbeats
        And the agent's messages are counted from here
        And 60000 ms pass at the agent with heartbeats
        Then the agent sent entry A no report since then

    Scenario: A new incarnation of the owner receives no outcomes of the old one
        Given an agent with 1 slot and 0 queue places
        When entry A starts task "0" of A1 at the agent
        And task 0 of A1 ends as "succeeded"
        And entry A is replaced by a new incarnation that pings the agent
        And the agent's messages are counted from here
        And 60000 ms pass at the agent with heartbeats
        Then the agent sent entry A no report since then

    Scenario: An agent repeats its announcement until the entry replies
        Given an agent with 1 slot and 0 queue places
        When the agent reads entries "A,B" from the registry
        And 5000 ms pass at the agent with heartbeats
        Then the agent has sent 2 announcements to entry A
        When entry A answers the agent's ping
        And 20000 ms pass at the agent with heartbeats
        Then the agent has sent 2 announcements to entry A
        And the agent has sent 6 announcements to entry B

    Scenario: An entry that pings the agent receives the announcement again, since the first one may be lost
        Given an agent with 1 slot and 0 queue places
        When the agent reads entries "A" from the registry
        Then the agent has sent 1 announcement to entry A
        When entry A pings the agent
        Then the agent has sent 2 announcements to entry A
        When entry A answers the agent's ping
        And 20000 ms pass at the agent with heartbeats
        Then the agent has sent 2 announcements to entry A

    Scenario: An agent announces itself again only after a change
        Given an agent with 1 slot and 0 queue places
        When entry A pings the agent
        And entry A answers the agent's ping
        And entry A pings the agent
        Then the agent has sent 1 announcement to entry A
        When the backend server announces services "alerts,settlement" to the agent
        Then the agent has sent 2 announcements to entry A

    Scenario: A ping is answered
        Given an agent with 1 slot and 0 queue places
        When entry A pings the agent
        And entry A answers the agent's ping
        And the agent's messages are counted from here
        And entry A pings the agent
        Then the agent sent entry A "pong" since then

    Scenario: Three failed submissions in a row make the agent suspect
        Given an agent with 1 slot and 0 queue places
        When a task of each of "A1,A2" fails
        Then the agent isn't suspect
        When a task of each of "A3" fails
        Then the agent is suspect
        When entry A starts task "0" of A4 at the agent
        And task 0 of A4 ends as "succeeded"
        Then the agent isn't suspect

    Scenario: Failures of the same submission count once
        Given an agent with 1 slot and 0 queue places
        When tasks "0,1,2,3,4" of A1 fail one by one
        Then the agent isn't suspect

    Scenario: An idle agent requests no tick
        Given an agent that has not registered
        When 3000 ms pass at the agent
        Then the agent requests no tick
