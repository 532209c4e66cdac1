@direct
Feature: Workers whose capacity shrinks while their agents are away

    A worker reports its capacity every 1,500 ms to its own agent only. A capacity that has shrunk may be filled for 3,000 ms and
    one such interval more.

    # Guards against workers that are filled by the capacity of an outdated record (second review, case 9).
    Scenario Outline: A restarted agent does not fill its worker by a former capacity, <case>
        When a worker shrinks while its agent is away, at each phase of its reports, for 250 to 7000 ms, <case>
        Then no worker was filled beyond its capacity
        And each worker got tasks within 1800 ms after its agent was back

        Examples:
            | case                                                  |
            | while its entry runs on                               |
            | while its entry is killed too                         |
            | and another process of the agent has lived in between |
            | and the store has lost the record of a smaller one    |
            | after the agent was shut down gracefully              |

    Scenario Outline: A restarted agent need not wait for the next report when an entry knows a recent one, <case>
        When a worker shrinks while its agent is away, at each phase of its reports, for 250 to 1250 ms, <case>
        Then each worker got tasks within 500 ms after its agent was back

        Examples:
            | case                                                  |
            | while its entry runs on                               |
            | and another process of the agent has lived in between |
            | after the agent was shut down gracefully              |
