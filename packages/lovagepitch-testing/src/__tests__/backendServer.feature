Feature: Stand-in for a backend server

    Scenario: It announces itself, runs a task and identifies the task in its output
        Given a backend server stand-in beside an agent's local port
        Then the agent's local port has received "PUT" with 8 slots
        When task 3 of "s1" with echo "mine" is posted to the backend server stand-in
        Then the backend server stand-in answers with output of task 3 of "s1" and echo "mine"
        And it lists 1 start, of task 3 of "s1"

    Scenario: It fails every task on command, and withdraws its announcement when it drains
        Given a backend server stand-in beside an agent's local port
        When the backend server stand-in is set to fail every task
        And task 0 of "s2" with echo "mine" is posted to the backend server stand-in
        Then the backend server stand-in answers with status 500
        When the backend server stand-in drains
        Then the agent's local port has received "DELETE" with 0 slots
