Feature: Submission ids

    Scenario: An id says what was encoded
        Given an id of keeper "127.0.0.1:7001" with sequence 42
        Then the id decodes to keeper "127.0.0.1:7001" with sequence 42

    Scenario: A changed id is refused
        Then changing any character of an id makes it invalid
