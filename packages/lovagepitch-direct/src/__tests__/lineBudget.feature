@direct-policies
Feature: Limits on log lines

    Load pattern: hundreds of jobs a second end, and each writes lines. A decision that has to be found later is a single line.

    # Guards against logs that do not tell which entry has placed a task, because other lines have used the limit (issue 44).
    Scenario: An event that comes often does not keep others from being logged
        Given a log with limits
        When 500 lines "job answered" and then 1 lines "tasks placed" are written within a second
        Then 1 lines "tasks placed" were written

    Scenario: All lines together are limited
        Given a log with limits
        When 500 lines "job answered" and then 500 lines "tasks placed" are written within a second
        And 500 lines "run did not succeed" and then 500 lines "capacity requested" are written within a second
        Then at most 200 lines were written

    Scenario: The omitted lines are told by event in the next window
        Given a log with limits
        When 100 lines "job answered" and then 1 lines "tasks placed" are written within a second
        Then the next window begins with 10 omitted lines "job answered"
