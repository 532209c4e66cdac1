@direct-policies
Feature: Odd rows of another writer

    Another writer may leave rows of any contents in the tables: nested very deeply, with numbers that are too large, or with ports
    out of range. The good rows hold, and the process lives.

    Scenario: No row makes the list of entries fail or names an entry that can't be connected to
        Then the entries of a good row and of one with a field replaced by any odd value are valid, and the good one is among them

    Scenario: No record of a worker makes an agent fail or gives it a capacity that a worker can't have
        Then a record of a worker with a field replaced by any odd value is refused or valid

    # Guards against a row that names an entry for ever, because it was written in the far future.
    Scenario Outline: A row that was written at <writtenAt> names no entry
        Then an entry row written at <writtenAt> at store time 1000 names no entry

        Examples:
            | writtenAt |
            | 1e400     |
            | 9007199254740993 |
            | 1001      |
            | -1e400    |

    # Guards against a second connection of an agent to one entry, which would seem to have none of the entry's runs.
    Scenario Outline: A row with another spelling of an entry's address names no entry
        Then a row with the address <address> names no entry

        Examples:
            | address           |
            | 10.1.0.1:07720    |
            | 10.1.0.01:7720    |
            | 010.1.0.1:7720    |
            | 10.1.0.1:+7720    |
            | 10.1.1:7720       |
            | [::ffff:a01:1]:7720 |

    Scenario: Each odd row is logged once, and the good ones are listed
        Given a table of entries with a good row and 3 odd ones
        When an entry has read the table 3 times
        Then the good row is listed, and each odd one was logged once

    # Guards against agents whose workers are never recorded, because the row of another writer can't be serialized.
    Scenario Outline: A worker is recorded over <row> of another writer
        Given a table of workers with <row> of another writer for the agent
        When the agent records its worker
        Then the next process of the agent restores it

        Examples:
            | row                                  |
            | a value nested 10000 levels deep     |
            | a record with a nested label         |
            | a number                             |

    # Guards against a worker that is out of use for good, because a record names a start that is later than its own.
    Scenario: A record with a start in the far future does not keep an agent from using its worker
        Given an agent that has restored a record with the start 9007199254740991
        When the worker, which has started at 5000, answers and reports
        Then the agent accepts a start order for this worker
