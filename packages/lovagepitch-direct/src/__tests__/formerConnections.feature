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

    # Guards against the end of a former process's run of the same number, which answered a caller of its successor.
    Scenario: An agent that knows only the former process of an entry repeats its ends
        Given an entry that has placed a task at agent "X" on connection 2
        When agent "X" connects again with the success of a run of the same number, for entry process "entry-0"
        Then no caller was answered
        And the entry has sent 2 start orders

    # Guards against ends that wait for a connection's first frame and are sent to the successor of their entry.
    Scenario: A run ends after its agent has connected to the successor of its entry, and before it knows that
        Given an agent with a run of entry process "entry-1" that connects again
        When the run ends before the first frame of the entry arrives
        And the first frame comes from entry process "entry-2"
        Then no end was reported to the successor

    # Guards against ends of any age that were repeated with each new connection, also those that the entry had received.
    Scenario Outline: An agent repeats an end that is <age> ms old and <state> <times> times on a new connection
        Given an agent whose run has ended, which entry process "entry-1" has <state>
        When <age> ms pass and the agent connects again
        Then its first frame repeats <times> ends

        Examples:
            | age  | state         | times |
            | 50   | not confirmed | 1     |
            | 400  | not confirmed | 1     |
            | 50   | confirmed     | 0     |
            | 3100 | not confirmed | 0     |
