@direct-policies
Feature: Messages of former connections and processes

    Connections between agents and entries are replaced, and processes restart at their addresses. What a message says holds
    for the process and the connection that it was sent on.

    # Guards against runs that are taken for lost because a frame that was sent before their start arrives after it.
    Scenario: A first frame of a former connection arrives after that of the newer one
        Given an entry that has placed a task at agent "X" on connection 2
        When the first frame of connection 1, which agent "X" sent 50 ms before, arrives
        And 200 ms pass for the entry with frames of agent "X" on connection 2
        Then the entry has sent 1 start order
        And it has sent frames on connection 2 only
