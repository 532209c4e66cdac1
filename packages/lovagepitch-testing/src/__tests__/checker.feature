Feature: Checker of the rules that must always hold

    Scenario Outline: Rule <rule>, a record that obeys it: <record>
        Given the checker's record "<record>"
        Then the checker reports nothing

        Examples:
            | rule                 | record                                   |
            | startsOnce           | each task started once                   |
            | startsOnce           | key resubmitted under one submission     |
            | permittedPlace       | start under the older version in time    |
            | ownCompleteAnswer    | complete answer with own outputs         |
            | ownCompleteAnswer    | failed answer without outputs            |
            | notRunIsTrue         | refused as not run and never started     |
            | notRunIsTrue         | mismatch refused while the first job ran |
            | answeredInTime       | answered within deadline and margin      |
            | ownCompleteAnswer    | failed answer before a complete one elsewhere |
            | answeredInTime       | caller whose connection broke            |
            | answeredInTime       | silent caller whose entry was paused     |
            | gracefulLeaving      | start before the leaving limit           |
            | gracefulLeaving      | planned stop that answered everything    |
            | configurationInForce | version in force everywhere in time      |
            | configurationInForce | version that nobody had before an outage |
            | configurationInForce | process that started in an outage        |

    Scenario Outline: Rule <rule>, a record that breaks it: <record>
        Given the checker's record "<record>"
        Then the checker reports "<rule>" with "<words>"

        Examples:
            | rule                 | record                                | words                         |
            | startsOnce           | one task started at two workers       | started twice                 |
            | startsOnce           | key bound to two submissions          | was bound to                  |
            | permittedPlace       | start in a zone never permitted       | place not permitted           |
            | permittedPlace       | start under the older version too late | place not permitted          |
            | permittedPlace       | start before any version was accepted | by version none               |
            | ownCompleteAnswer    | complete answer with another's output | as output of task 0           |
            | ownCompleteAnswer    | complete answer that lacks a task     | has 1 of 2 tasks              |
            | ownCompleteAnswer    | failed answer with an output          | holds an output               |
            | ownCompleteAnswer    | two answers that disagree             | differs from an earlier       |
            | ownCompleteAnswer    | answers elsewhere that contradict     | contradicts an earlier answer |
            | ownCompleteAnswer    | answer about a task that never started | which never started          |
            | ownCompleteAnswer    | answer to another submission          | was given to                  |
            | notRunIsTrue         | refused as not run and started        | answered "not run"            |
            | notRunIsTrue         | failed task not run and started       | answered "not run"            |
            | answeredInTime       | no answer at all                      | had no answer                 |
            | answeredInTime       | answered too late                     | was answered after            |
            | answeredInTime       | complete answer held back             | after its last task had ended |
            | gracefulLeaving      | start after the leaving limit         | started after leaving         |
            | gracefulLeaving      | planned stop that broke a connection  | cut off                       |
            | configurationInForce | version missing in one process        | was not in force              |
            | configurationInForce | version that one process had before an outage | was not in force      |
            | configurationInForce | process that went on in an outage     | was not in force              |
            | configurationInForce | version that fell                     | went back from version 2 to 1 |
