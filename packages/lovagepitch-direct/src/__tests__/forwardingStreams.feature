Feature: Connections between entries that pass jobs on

    Scenario: Submissions and answers arrive as they were sent, in each encoding
        Given an entry that listens for agents and entries
        When another entry connects and exchanges 3 frames with it
        Then each frame and each reply arrived as it was sent

    Scenario: An agent and an entry are told apart on the same port
        Given an entry that listens for agents and entries
        When an agent and another entry connect and exchange 3 frames with it
        Then each of them got frames of its own kind

    # Entries of the build before close a connection whose first frame is none of an agent.
    Scenario: The other entry is of an earlier build
        Given a listener of an earlier build
        When another entry connects and sends a frame
        Then it learns that the connection has ended

    Scenario: A connection that can't be opened
        When another entry connects to an address at which nobody listens
        Then it learns that the connection has ended
