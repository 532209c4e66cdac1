Feature: Submission ids

    Scenario: Decoding an id returns the encoded fields
        Given an id of owner "127.0.0.1:7001" with sequence 42
        Then the id decodes to owner "127.0.0.1:7001" with sequence 42

    Scenario: A modified id is refused
        Then changing any character of an id makes it invalid
