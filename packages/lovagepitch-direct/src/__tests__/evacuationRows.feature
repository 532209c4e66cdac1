@direct-policies
Feature: Evacuated zones in the rows of the store

    Scenario Outline: <case>
        Given the zones "a" and "b" were evacuated as of version 10
        When <rows> are read as of version 20
        Then the evacuated zones are "<zones>" as of version 20

        Examples:
            | case                                              | rows                            | zones |
            | A change adds a zone                              | the changes "c"                 | a,b,c |
            | A removed row takes the evacuation back           | the changes "removed a"         | b     |
            | Changes without rows of zones change nothing      | the changes "configuration"     | a,b   |
            | A row that was put again is in force              | the changes "removed a, a"      | a,b   |
            | A complete read replaces what was known           | all rows "b, configuration"     | b     |
            | A complete read without rows ends all evacuations | all rows ""                     |       |

    Scenario: Of two states the one of the higher version of the store is in force
        Given the zones "a" and "b" were evacuated as of version 10
        Then a state of version 10 or 9 changes nothing, and one of version 11 does

    Scenario: A peer is told only what is newer and differs
        Then a notice is due only to a peer with an older state and other zones
