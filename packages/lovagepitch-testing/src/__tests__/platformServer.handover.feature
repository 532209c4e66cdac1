Feature: Handover objects

    Scenario Outline: Handover objects are read back as written, platform in <kind>
        When an agent's ledger and an entry's answers are written to a "<kind>" platform
        Then the same handover objects are read back
        And no handover object is found for a process that wrote none

        Examples:
            | kind   |
            | memory |
            | http   |

    Scenario Outline: A handover object that is <damage> is refused
        Given a ledger object that is <damage>
        Then reading the ledger object is invalid

        Examples:
            | damage                |
            | cut short             |
            | not compressed        |
            | no JSON               |
            | of another shape      |
            | of another incarnation |
