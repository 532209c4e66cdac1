@direct-policies
Feature: Texts in frames between agents and entries

    The decoder of the bundled programs is the one that this suite uses.

    # Guards against tasks that are started with another specification than the caller's (review, case 7).
    Scenario: No text changes between processes, whatever its characters and length
        Then any text in a frame is received as it was sent
        And a long text that begins with any code unit is received as it was sent
        And a text with a byte order mark and any length up to 70,000 bytes is received as it was sent
        And any fields of a frame that this version does not know are received as they were sent
