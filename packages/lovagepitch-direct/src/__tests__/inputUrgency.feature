@direct-policies
Feature: Inputs that wait for the next tick

    # Guards against processes of large deployments that spend most of their processor time on ticks that decide nothing.
    Scenario Outline: An agent's input that renews what it knows causes no tick
        Given an agent with a worker and two runs in start
        When it receives <input>
        Then the input is <urgency>

        Examples:
            | input                                          | urgency    |
            | a heartbeat of its entry                       | not urgent |
            | the confirmation of a start                    | not urgent |
            | the rejection of a start                       | urgent     |
            | a start order                                  | urgent     |
            | a stop order                                   | urgent     |
            | a heartbeat of another process of the entry    | urgent     |
            | a heartbeat that asks for capacity             | urgent     |
            | a second heartbeat that asks for capacity      | urgent     |
            | a heartbeat with a newer configuration         | urgent     |
            | a heartbeat with evacuated zones               | urgent     |
            | 16 heartbeats of its entry                     | urgent     |

    Scenario: The time that an input has waited does not count
        Given an agent with a worker and two runs in start
        When it receives the confirmation of a start that it processes 40 ms later
        Then it has not repeated the confirmed start
        And its next frame says for how long it has had the entry's newest frame since that was read

    Scenario Outline: An entry's input that renews what it knows causes no tick
        Given an entry with an agent and <jobs>
        When it receives <input>
        Then the input is <urgency>

        Examples:
            | jobs              | input                                        | urgency    |
            | a started job     | a heartbeat of its agent                     | not urgent |
            | a started job     | a heartbeat with other free capacity         | not urgent |
            | a waiting job     | a heartbeat with other free capacity         | urgent     |
            | a started job     | the end of a run                             | urgent     |
            | a started job     | the first frame of a connection              | urgent     |
            | a started job     | a frame of an unknown agent                  | urgent     |
            | a started job     | a frame of a worker that accepts no tasks    | urgent     |
            | a started job     | a heartbeat on a former connection           | urgent     |
            | a started job     | a sign of life of another entry              | not urgent |
            | a started job     | the first sign of life of another entry      | urgent     |
            | a started job     | an announcement of a job                     | urgent     |
            | a started job     | 16 heartbeats of its agent                   | urgent     |

    Scenario: An agent counts as silent from its latest frame on, not from when the frame was processed
        Given an entry with an agent and a started job
        When its agent's latest frame is processed 100 ms after it was read
        Then the agent gets no tasks 201 ms after that
