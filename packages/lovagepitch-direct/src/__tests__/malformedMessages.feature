@direct-policies
Feature: Malformed messages between processes

    A message with fields that are missing or of another type is refused; no message ends the process that receives it.

    Scenario Outline: A <message> with a changed field is refused or harmless
        Then no <message> with one field removed or replaced by any JSON value throws an error

        Examples:
            | message          |
            | agent frame      |
            | entry frame      |
            | capacity request |
            | open jobs        |
            | forwarding frame |
            | forwarding reply |
            | release request  |
            | release notice   |

    Scenario Outline: A frame that would make its receiver fail is refused
        Then the <message> changed by <change> is refused

        Examples:
            | message          | change                                            |
            | entry frame      | {"starts":[null]}                                 |
            | entry frame      | {"entryAddresses":[5]}                            |
            | entry frame      | {"entryAddresses":["10.1.0.1:99999"]}             |
            | entry frame      | {"entryAddresses":["10.1.0.1:0"]}                 |
            | entry frame      | {"invitations":[{"address":"10.1.0.1:65536"}]}    |
            | entry frame      | {"configuration":{"version":9,"configuration":{}}} |
            | entry frame      | {"evacuations":{"revision":7,"zones":[5]}}        |
            | agent frame      | {"ended":[null]}                                  |
            | agent frame      | {"evacuations":{"zones":["zone-1"]}}              |
            | agent frame      | {"worker":{}}                                     |
            | agent frame      | {"crashes":[{"id":"a"}]}                          |
            | entry frame      | {"crashes":[null]}                                |
            | capacity request | {"from":{"address":"nowhere"}}                    |
            | capacity request | {"from":{"address":"10.1.0.1:0"}}                 |
            | open jobs        | {"jobs":[["a1"]]}                                 |
            | open jobs        | {"kind":"other"}                                  |
            | open jobs        | {"from":{"address":"nowhere","incarnation":"a"}}  |
            | release request  | {"ownerSubmission":"7"}                           |
            | forwarding frame | {"submissions":[{"number":1}]}                    |
            | forwarding frame | {"heldMilliseconds":-1}                           |
            | forwarding frame | {"from":{"address":"nowhere","incarnation":"a"}}  |
            | forwarding reply | {"answers":[{"number":1,"job":"a","answer":{"kind":"other"}}]} |
            | forwarding reply | {"answers":[{"number":1,"job":"a","answer":{"kind":"refused","reason":"x","retryAfterSeconds":1}}]} |
            | forwarding reply | {"load":"0.4"}                                    |
            | release notice   | {"mayHaveStarted":1}                              |

    Scenario: Numbers that are not finite, which frames can carry, are refused
        Then no agent frame with a send time of NaN and no entry frame with a sequence number of Infinity is accepted

    Scenario: An input whose processing fails is logged, and the others are processed
        When a core receives 3 inputs of which the second one fails
        Then the first and the third one were processed, and one line was logged
