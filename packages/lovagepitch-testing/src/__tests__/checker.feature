Feature: Checker of the invariants of a run

    Scenario Outline: Rule <rule>, a record that obeys it: <record>
        Given the checker's record "<record>"
        Then the checker reports nothing

        Examples:
            | rule                 | record                                               |
            | startsOnce           | each task started once                               |
            | startsOnce           | key resubmitted under one submission                 |
            | permittedPlace       | start under the older version in time                |
            | ownCompleteAnswer    | complete answer with own outputs                     |
            | ownCompleteAnswer    | failed answer without outputs                        |
            | notRunIsTrue         | refused as not run and never started                 |
            | notRunIsTrue         | mismatch refused while the first job ran             |
            | answeredInTime       | answered within deadline and margin                  |
            | ownCompleteAnswer    | failed answer before a complete one at another entry |
            | answeredInTime       | caller whose connection broke                        |
            | answeredInTime       | caller without an answer whose entry was frozen      |
            | gracefulLeaving      | start before the drain limit                         |
            | gracefulLeaving      | graceful shutdown that answered every request        |
            | configurationInForce | version in force everywhere in time                  |
            | configurationInForce | version that no process had before an outage         |
            | configurationInForce | process that started in an outage                    |

    Scenario Outline: Rule <rule>, a record that violates it: <record>
        Given the checker's record "<record>"
        Then the checker reports "<rule>" with "<words>"

        Examples:
            | rule                 | record                                        | words                         |
            | startsOnce           | one task started at two workers               | started twice                 |
            | startsOnce           | key bound to two submissions                  | was bound to                  |
            | permittedPlace       | start in a zone never permitted               | place not permitted           |
            | permittedPlace       | start under the older version too late        | place not permitted           |
            | permittedPlace       | start before any version was accepted         | by version none               |
            | ownCompleteAnswer    | complete answer with another's output         | as output of task 0           |
            | ownCompleteAnswer    | complete answer that lacks a task             | has 1 of 2 tasks              |
            | ownCompleteAnswer    | failed answer with an output                  | holds an output               |
            | ownCompleteAnswer    | contradictory answers from one entry          | differs from an earlier       |
            | ownCompleteAnswer    | contradictory answers from two entries        | contradicts an earlier answer |
            | ownCompleteAnswer    | answer about a task that never started        | which never started           |
            | ownCompleteAnswer    | answer to another submission                  | was given to                  |
            | notRunIsTrue         | refused as not run and started                | answered "not run"            |
            | notRunIsTrue         | failed task not run and started               | answered "not run"            |
            | answeredInTime       | no answer at all                              | had no answer                 |
            | answeredInTime       | answered too late                             | was answered after            |
            | answeredInTime       | complete answer delayed                       | after its last task had ended |
            | gracefulLeaving      | start after the drain limit                   | started after leaving         |
            | gracefulLeaving      | graceful shutdown that broke a connection     | cut off                       |
            | configurationInForce | version missing in one process                | was not in force              |
            | configurationInForce | version that one process had before an outage | was not in force              |
            | configurationInForce | process that kept running in an outage        | was not in force              |
            | configurationInForce | version that decreased                        | went back from version 2 to 1 |
