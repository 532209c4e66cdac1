Feature: Concurrent writes to the platform's rows

    Scenario Outline: <agents> agents register concurrently, platform in <kind>
        When <agents> agents register concurrently on a "<kind>" platform
        Then every agent has its own registration number, from 1 without gaps

        Examples:
            | kind   | agents |
            | memory | 2      |
            | memory | 40     |
            | http   | 2      |
            | http   | 10     |

    Scenario: Two processes register the same agents in groups that overlap
        When two processes register overlapping groups of agents concurrently
        Then every agent has its own registration number, from 1 without gaps

    Scenario Outline: <operators> operators apply on one base, platform in <kind>, <lost> responses lost
        When <operators> operators apply different manifests on one base on a "<kind>" platform that loses <lost> responses
        Then one manifest is accepted, and every other operator has a conflict that names the accepted version

        Examples:
            | kind   | operators | lost |
            | memory | 2         | 0    |
            | memory | 2         | 1    |
            | memory | 20        | 0    |
            | memory | 20        | 3    |
            | http   | 2         | 0    |
            | http   | 2         | 1    |
            | http   | 10        | 2    |

    Scenario Outline: <processes> processes claim one key concurrently, platform in <kind>, <lost> responses lost
        When <processes> processes claim one key concurrently on a "<kind>" platform that loses <lost> responses
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

    Scenario: Any interleaving of claims, with writes that are lost, unanswered or applied late
        Then in 500 interleavings of claims every key stays bound to one submission

    Scenario: Any interleaving of registrations
        Then in 300 interleavings of registrations no number is assigned twice and no agent has two

    Scenario: Any interleaving of applied manifests
        Then in 300 interleavings of applied manifests each version has one content and versions never decrease

    Scenario: Any interleaving of renewals, registrations, removals and marks as left
        Then in 300 interleavings of renewals an agent that was marked as left never returns to serving
