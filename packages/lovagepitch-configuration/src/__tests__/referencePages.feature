Feature: Reference pages

    Scenario Outline: Every setting and its default is on the reference page
        Then the page "docs/<page>" names every key of the schema "<schema>"

        Examples:
            | page        | schema                        |
            | settings.md | entry-settings.schema.json    |
            | settings.md | agent-settings.schema.json    |
            | settings.md | operator-settings.schema.json |
            | manifest.md | manifest.schema.json          |
            | callers.md  | job.schema.json               |

    Scenario: Every kind of refusal is on the callers' page
        Then the page "docs/callers.md" has a row for every kind of problem

    Scenario: The job on the callers' page is accepted
        Then the first JSON document on the page "docs/callers.md" is a valid job
