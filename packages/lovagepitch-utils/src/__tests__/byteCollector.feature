Feature: Collection of received bytes

    Scenario: Parts of any size are joined in the order of their arrival
        Then 300 random sequences of parts with seed 1 are joined to what was added

    Scenario Outline: Parts of <size> bytes take little more memory than their bytes
        When 20000 bytes are collected in parts of <size> bytes
        Then they take at most 30000 bytes of memory

        Examples:
            | size  |
            | 1     |
            | 100   |
            | 5000  |
            | 20000 |

    Scenario: A small part does not keep the large block that it belongs to
        When 2 parts of 10 bytes of blocks of 65536 bytes are collected
        Then they take at most 5000 bytes of memory

    Scenario: Bytes that were joined remain when the collector is used again
        Given 9000 bytes in parts of 100 bytes were joined and forgotten
        When other bytes are collected
        Then the joined bytes are those that were added
