Feature: The manifest in the platform's table

    Scenario: Without a manifest
        Then the platform has no manifest and version 0

    Scenario: Applying the same manifest on the same base again
        Given a platform with manifests "first, second"
        When operator "two" applies "second" on base 1
        Then the platform accepts it as version 2
        And the platform's manifest has version 2 and content "second"

    Scenario Outline: A base version that is not the newest
        Given a platform with manifests "first, second"
        When operator "two" applies "third" on base <base>
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        And the platform's manifest has version 2 and content "second"

        Examples:
            | base |
            | 0    |
            | 1    |
            | 3    |

    Scenario: A manifest that was accepted and has been replaced
        Given a platform with manifests "first, second, third"
        When operator "two" applies "second" on base 1
        Then the platform refuses it as a "superseded" that names version 3 by "operator"

    Scenario: A lost answer to a manifest that is replaced before it is read back
        Given a platform with manifests "first"
        When the answer to "second" on base 1 is lost and "third" is applied on base 2 before it is read back
        Then the platform accepts it as version 2
        And the platform's manifest has version 3 and content "third"

    Scenario: The answer stays lost
        Given a platform with manifests "first"
        When operator "two" applies "second" on base 1 while the platform goes down after the write
        Then the platform refuses it as "unavailable"
        When operator "two" applies "second" on base 1
        Then the platform accepts it as version 2

    Scenario: A deleted document does not let the version fall
        Given a platform with manifests "first, second"
        And the platform's manifest row "current" was deleted
        When operator "two" applies "third" on base 0
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3

    Scenario: A document that was set back does not let the version fall
        Given a platform with manifests "first, second"
        And the platform's manifest document was set back to version 1 with content "first"
        When operator "two" applies "third" on base 1
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3
        And the platform's manifest has version 3 and content "third"

    Scenario: A deleted history does not let the version fall
        Given a platform with manifests "first, second"
        And the platform's manifest row "history" was deleted
        When operator "two" applies "third" on base 0
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3
        And the platform's manifest has version 3 and content "third"

    Scenario: With both rows deleted, the operator's base version goes on
        Given a platform with manifests "first, second"
        And the platform's manifest row "current" was deleted
        And the platform's manifest row "history" was deleted
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3

    Scenario: A malformed document
        Given a platform whose manifest row is malformed
        When operator "two" applies "third" on base 0
        Then the platform refuses it as "invalid"
