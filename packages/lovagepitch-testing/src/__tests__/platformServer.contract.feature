Feature: Contract of the platform's table and object store

    Scenario Outline: <rule>, platform in <kind>
        Given an empty "<kind>" platform
        Then the platform satisfies the rule "<rule>"

        Examples:
            | kind   | rule                                           |
            | memory | a missing row is undefined                     |
            | http   | a missing row is undefined                     |
            | memory | a row is read with its value and tag           |
            | http   | a row is read with its value and tag           |
            | memory | keys may contain any character                 |
            | http   | keys may contain any character                 |
            | memory | a listing contains the prefix's rows in order  |
            | http   | a listing contains the prefix's rows in order  |
            | memory | the condition absent is met only without a row |
            | http   | the condition absent is met only without a row |
            | memory | a tag matches only the current state           |
            | http   | a tag matches only the current state           |
            | memory | a tag of a deleted row never matches again     |
            | http   | a tag of a deleted row never matches again     |
            | memory | a transaction writes all rows or none          |
            | http   | a transaction writes all rows or none          |
            | memory | a conflict names its rows                      |
            | http   | a conflict names its rows                      |
            | memory | a transaction may not name a row twice         |
            | http   | a transaction may not name a row twice         |
            | memory | a missing object is undefined                  |
            | http   | a missing object is undefined                  |
            | memory | an object is replaced as a whole               |
            | http   | an object is replaced as a whole               |
