Feature: Races for rows of the platform

    Scenario Outline: <agents> agents register at once, platform in <kind>
        When <agents> agents register at once on a "<kind>" platform
        Then every agent has its own registration number, from 1 without gaps

        Examples:
            | kind   | agents |
            | memory | 2      |
            | memory | 40     |
            | http   | 2      |
            | http   | 10     |

    Scenario: Two processes register the same agents in groups that overlap
        When two processes register overlapping groups of agents at once
        Then every agent has its own registration number, from 1 without gaps

    Scenario Outline: <operators> operators apply on one base, platform in <kind>, <lost> answers lost
        When <operators> operators apply different manifests on one base on a "<kind>" platform that loses <lost> answers
        Then one operator has won, and every other one has a conflict that names the winner

        Examples:
            | kind   | operators | lost |
            | memory | 2         | 0    |
            | memory | 2         | 1    |
            | memory | 20        | 0    |
            | memory | 20        | 3    |
            | http   | 2         | 0    |
            | http   | 2         | 1    |
            | http   | 10        | 2    |

    Scenario Outline: <processes> processes claim one key at once, platform in <kind>, <lost> answers lost
        When <processes> processes claim one key at once on a "<kind>" platform that loses <lost> answers
        Then all claims of the key have the same binding

        Examples:
            | kind   | processes | lost |
            | memory | 2         | 0    |
            | memory | 2         | 1    |
            | memory | 20        | 0    |
            | memory | 20        | 5    |
            | http   | 2         | 0    |
            | http   | 2         | 1    |
            | http   | 10        | 3    |

    Scenario: Any interleaving of claims, with writes that are lost, answered by nobody or applied late
        Then in 500 interleavings of claims every key is bound to one submission for good

    Scenario: Any interleaving of registrations
        Then in 300 interleavings of registrations no number is given twice and no agent has two

    Scenario: Any interleaving of applied manifests
        Then in 300 interleavings of applied manifests each version has one content and versions never fall

    Scenario: Any interleaving of renewals, leaving and removal
        Then in 300 interleavings of renewals an agent that was marked as left never serves again
