Feature: The manifest in the platform's table

    Scenario: Without a manifest
        Then the platform has no manifest and version 0

    Scenario: Applying the same manifest on the same base again
        Given a platform with manifests "first, second"
        When operator "two" applies "second" on base 1
        Then the platform accepts it as version 2
        And the platform's manifest has version 2 and content "second"

    Scenario Outline: A base version that is not the current version
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

    Scenario: The response to a manifest is lost, and the manifest is replaced before it is read back
        Given a platform with manifests "first"
        When the response to "second" on base 1 is lost and "third" is applied on base 2 before it is read back
        Then the platform accepts it as version 2
        And the platform's manifest has version 3 and content "third"

    Scenario: The response is lost and the manifest cannot be read back
        Given a platform with manifests "first"
        When operator "two" applies "second" on base 1 while the platform goes down after the write
        Then the platform refuses it as "unavailable"
        When operator "two" applies "second" on base 1
        Then the platform accepts it as version 2

    Scenario: The version does not decrease after the document was deleted
        Given a platform with manifests "first, second"
        And the platform's manifest row "current" was deleted
        When operator "two" applies "third" on base 0
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3

    Scenario: The version does not decrease after the document was reset
        Given a platform with manifests "first, second"
        And the platform's manifest document was reset to version 1 with content "first"
        When operator "two" applies "third" on base 1
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3
        And the platform's manifest has version 3 and content "third"

    Scenario: The version does not decrease after the history was deleted
        Given a platform with manifests "first, second"
        And the platform's manifest row "history" was deleted
        When operator "two" applies "third" on base 0
        Then the platform refuses it as a "conflict" that names version 2 by "operator"
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3
        And the platform's manifest has version 3 and content "third"

    Scenario: With both rows deleted, versions continue from the operator's base version
        Given a platform with manifests "first, second"
        And the platform's manifest row "current" was deleted
        And the platform's manifest row "history" was deleted
        When operator "two" applies "third" on base 2
        Then the platform accepts it as version 3

    Scenario: A malformed document
        Given a platform whose manifest row is malformed
        When operator "two" applies "third" on base 0
        Then the platform refuses it as "invalid"
