@direct-policies
Feature: Workers of different speeds

    Scenario: The speed of a worker is learned from many runs, whose estimates are off and of which a few are long
        When a worker of speed 0.7 ends 128 runs with estimates off by 0.4, of which 3 percent take 7 times as long
        Then its speed is known as 0.6 to 0.8

    Scenario Outline: Bad or too few measurements give no speed
        When a worker ends <runs> runs of 100 ms that were estimated at <estimate> ms
        Then its speed is <verdict>

        Examples:
            | runs | estimate | verdict    |
            | 0    | 100      | unknown    |
            | 1    | 100      | unknown    |
            | 23   | 100      | unknown    |
            | 24   | 100      | known      |
            | 60   | 0        | unknown    |
            | 60   | -5       | unknown    |
            | 60   | 100000   | distrusted |
            | 60   | 1        | distrusted |

    Scenario: A clock that jumps changes neither the speed nor the trust in it
        When a worker ends 48 runs of 100 ms that were estimated at 100 ms
        And it ends 3 runs of 900000 ms that were estimated at 100 ms
        And it ends 9 runs of 0 ms that were estimated at 100 ms
        Then its speed is known as 1.0 to 1.0

    Scenario: Runs that contradict one another are distrusted
        When a worker ends alternating runs of 20 and 500 ms that were estimated at 100 ms
        Then its speed is distrusted

    Scenario Outline: Speed 1 is that of the average worker, also when all estimates are off by the same factor
        Given workers of kind a, a and b that report 0.7, 0.7 and 1.7 times <bias>
        Then the speed of a worker of kind a is 0.66 to 0.70
        And the speed of a worker of kind b is 1.60 to 1.68

        Examples:
            | bias |
            | 1    |
            | 0.5  |
            | 3    |

    Scenario: A new worker starts with the speed of its kind, and that of an unknown kind with 1
        Given workers of kind a, a and b that report 0.7, 0.7 and 1.7 times 1
        When a worker of kind b and one of kind c join without a figure
        Then the speed of the new worker of kind b is 1.40 to 1.43
        And the speed of the new worker of kind c is 1 to 1

    Scenario Outline: Workers in several racks have the figure of their kind, which the noise of a rack does not change
        Given workers of <kinds> in 6 racks of 3, all of speed 1 but for a noise of 20 percent by rack
        Then the speeds of all workers are 1 to 1

        Examples:
            | kinds         |
            | kinds a and b |
            | kind a        |

    Scenario Outline: A worker that lies cannot exceed the limits, nor move its kind or the others
        Given 9 workers of kind a that report 1 and one that reports <figure>
        Then the speed of the last worker is <from> to <to>
        And the speeds of the others are 0.6 to 1.2

        Examples:
            | figure | from | to   |
            | 5      | 2.5  | 2.5  |
            | 0.2    | 0.4  | 0.4  |
            | -3     | 1    | 1    |
            | 0      | 1    | 1    |

    Scenario: Differences within the noise of the estimates count as none
        Given workers of kind a, a and b that report 0.95, 1 and 1.05 times 1
        Then the speed of a worker of kind a is 1 to 1
        And the speed of a worker of kind b is 1 to 1

    Scenario Outline: A task goes to a worker on which it still ends in time, and waits only while one can be free in time
        Then with <spare> ms to spare a task of 1000 ms, with <room>, goes to <choice>

        Examples:
            | spare | room             | choice   |
            | 600   | room on slow     | slow     |
            | 600   | room on both     | the roomiest |
            | 300   | room on both     | fast     |
            | 300   | room on slow     | nobody   |
            | 40    | room on slow     | slow     |
            | -500  | room on both     | fast     |
            | 300   | no room          | nobody   |

    Scenario: A fault is not hidden by the slowness of a worker's kind, nor taken from it
        Then runs at half the estimated speed are healthy on a worker of usual speed 0.7
        And runs at a fifth of the estimated speed are slow on a worker of usual speed 0.7
        And 5 long runs among 12 ordinary ones that have ended do not make a worker slow

    Scenario: An agent knows no speed of a new incarnation of its worker until runs have ended there
        Given an agent whose worker has ended 40 runs at half the estimated speed
        Then it reports the speed 0.4 to 0.6
        When its worker is replaced by a new incarnation
        Then it reports no speed

    Scenario: A worker that starts again under its id may be of another kind, so its speed is learned anew
        Given an agent whose worker has ended 40 runs at half the estimated speed
        When its worker starts again under its id
        Then it reports no speed
