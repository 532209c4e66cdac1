Feature: Repositories under platform faults

    Each operation is run once for each of its calls to the platform, with the fault at that call. Its result must then
    be correct, and the same operation run again without a fault must return the same result and change nothing more.

    Scenario Outline: <operation>, platform in memory, <fault>
        When "<operation>" is run on a "memory" platform with the fault "<fault>" at each of its calls in turn
        Then the platform operation makes at least <calls> calls, and its results are correct

        Examples:
            | operation | fault | calls |
            | register an agent | down for one call | 2 |
            | register an agent | down from that call on | 2 |
            | register an agent | slow for one call | 2 |
            | register an agent | response lost | 2 |
            | register an agent | two responses lost | 2 |
            | register an agent | request lost | 2 |
            | register an agent | two requests lost | 2 |
            | register an agent | write applied late | 2 |
            | register three agents | down for one call | 4 |
            | register three agents | down from that call on | 4 |
            | register three agents | slow for one call | 4 |
            | register three agents | response lost | 4 |
            | register three agents | two responses lost | 4 |
            | register three agents | request lost | 4 |
            | register three agents | two requests lost | 4 |
            | register three agents | write applied late | 4 |
            | renew an agent | down for one call | 2 |
            | renew an agent | down from that call on | 2 |
            | renew an agent | slow for one call | 2 |
            | renew an agent | response lost | 2 |
            | renew an agent | two responses lost | 2 |
            | renew an agent | request lost | 2 |
            | renew an agent | two requests lost | 2 |
            | renew an agent | write applied late | 2 |
            | mark an agent as left | down for one call | 2 |
            | mark an agent as left | down from that call on | 2 |
            | mark an agent as left | slow for one call | 2 |
            | mark an agent as left | response lost | 2 |
            | mark an agent as left | two responses lost | 2 |
            | mark an agent as left | request lost | 2 |
            | mark an agent as left | two requests lost | 2 |
            | mark an agent as left | write applied late | 2 |
            | register an entry | down for one call | 1 |
            | register an entry | down from that call on | 1 |
            | register an entry | slow for one call | 1 |
            | register an entry | response lost | 1 |
            | register an entry | two responses lost | 1 |
            | register an entry | request lost | 1 |
            | register an entry | two requests lost | 1 |
            | register an entry | write applied late | 1 |
            | renew an entry | down for one call | 2 |
            | renew an entry | down from that call on | 2 |
            | renew an entry | slow for one call | 2 |
            | renew an entry | response lost | 2 |
            | renew an entry | two responses lost | 2 |
            | renew an entry | request lost | 2 |
            | renew an entry | two requests lost | 2 |
            | renew an entry | write applied late | 2 |
            | mark an entry as left | down for one call | 2 |
            | mark an entry as left | down from that call on | 2 |
            | mark an entry as left | slow for one call | 2 |
            | mark an entry as left | response lost | 2 |
            | mark an entry as left | two responses lost | 2 |
            | mark an entry as left | request lost | 2 |
            | mark an entry as left | two requests lost | 2 |
            | mark an entry as left | write applied late | 2 |
            | read the registry | down for one call | 1 |
            | read the registry | down from that call on | 1 |
            | read the registry | slow for one call | 1 |
            | remove expired rows | down for one call | 3 |
            | remove expired rows | down from that call on | 3 |
            | remove expired rows | slow for one call | 3 |
            | remove expired rows | response lost | 3 |
            | remove expired rows | two responses lost | 3 |
            | remove expired rows | request lost | 3 |
            | remove expired rows | two requests lost | 3 |
            | remove expired rows | write applied late | 3 |
            | apply the first manifest | down for one call | 2 |
            | apply the first manifest | down from that call on | 2 |
            | apply the first manifest | slow for one call | 2 |
            | apply the first manifest | response lost | 2 |
            | apply the first manifest | two responses lost | 2 |
            | apply the first manifest | request lost | 2 |
            | apply the first manifest | two requests lost | 2 |
            | apply the first manifest | write applied late | 2 |
            | apply a change of the manifest | down for one call | 2 |
            | apply a change of the manifest | down from that call on | 2 |
            | apply a change of the manifest | slow for one call | 2 |
            | apply a change of the manifest | response lost | 2 |
            | apply a change of the manifest | two responses lost | 2 |
            | apply a change of the manifest | request lost | 2 |
            | apply a change of the manifest | two requests lost | 2 |
            | apply a change of the manifest | write applied late | 2 |
            | read the manifest | down for one call | 1 |
            | read the manifest | down from that call on | 1 |
            | read the manifest | slow for one call | 1 |
            | read the manifest's version | down for one call | 1 |
            | read the manifest's version | down from that call on | 1 |
            | read the manifest's version | slow for one call | 1 |
            | claim a key | down for one call | 1 |
            | claim a key | down from that call on | 1 |
            | claim a key | slow for one call | 1 |
            | claim a key | response lost | 1 |
            | claim a key | two responses lost | 1 |
            | claim a key | request lost | 1 |
            | claim a key | two requests lost | 1 |
            | claim a key | write applied late | 1 |
            | claim a bound key | down for one call | 2 |
            | claim a bound key | down from that call on | 2 |
            | claim a bound key | slow for one call | 2 |
            | claim a bound key | response lost | 2 |
            | claim a bound key | two responses lost | 2 |
            | claim a bound key | request lost | 2 |
            | claim a bound key | two requests lost | 2 |
            | claim a bound key | write applied late | 2 |
            | claim three keys of which one is bound | down for one call | 3 |
            | claim three keys of which one is bound | down from that call on | 3 |
            | claim three keys of which one is bound | slow for one call | 3 |
            | claim three keys of which one is bound | response lost | 3 |
            | claim three keys of which one is bound | two responses lost | 3 |
            | claim three keys of which one is bound | request lost | 3 |
            | claim three keys of which one is bound | two requests lost | 3 |
            | claim three keys of which one is bound | write applied late | 3 |
            | write answers | down for one call | 1 |
            | write answers | down from that call on | 1 |
            | write answers | slow for one call | 1 |
            | write answers | response lost | 1 |
            | write answers | two responses lost | 1 |
            | write answers | request lost | 1 |
            | write answers | two requests lost | 1 |
            | write answers | write applied late | 1 |
            | read answers | down for one call | 1 |
            | read answers | down from that call on | 1 |
            | read answers | slow for one call | 1 |
            | write a ledger | down for one call | 1 |
            | write a ledger | down from that call on | 1 |
            | write a ledger | slow for one call | 1 |
            | write a ledger | response lost | 1 |
            | write a ledger | two responses lost | 1 |
            | write a ledger | request lost | 1 |
            | write a ledger | two requests lost | 1 |
            | write a ledger | write applied late | 1 |
            | read a ledger | down for one call | 1 |
            | read a ledger | down from that call on | 1 |
            | read a ledger | slow for one call | 1 |

    Scenario Outline: <operation>, platform in http, <fault>
        When "<operation>" is run on a "http" platform with the fault "<fault>" at each of its calls in turn
        Then the platform operation makes at least <calls> calls, and its results are correct

        Examples:
            | operation | fault | calls |
            | register an agent | down for one call | 2 |
            | register an agent | down from that call on | 2 |
            | register an agent | slow for one call | 2 |
            | register an agent | response lost | 2 |
            | register an agent | two responses lost | 2 |
            | register an agent | request lost | 2 |
            | register an agent | two requests lost | 2 |
            | register an agent | write applied late | 2 |
            | register three agents | down for one call | 4 |
            | register three agents | down from that call on | 4 |
            | register three agents | slow for one call | 4 |
            | register three agents | response lost | 4 |
            | register three agents | two responses lost | 4 |
            | register three agents | request lost | 4 |
            | register three agents | two requests lost | 4 |
            | register three agents | write applied late | 4 |
            | renew an agent | down for one call | 2 |
            | renew an agent | down from that call on | 2 |
            | renew an agent | slow for one call | 2 |
            | renew an agent | response lost | 2 |
            | renew an agent | two responses lost | 2 |
            | renew an agent | request lost | 2 |
            | renew an agent | two requests lost | 2 |
            | renew an agent | write applied late | 2 |
            | mark an agent as left | down for one call | 2 |
            | mark an agent as left | down from that call on | 2 |
            | mark an agent as left | slow for one call | 2 |
            | mark an agent as left | response lost | 2 |
            | mark an agent as left | two responses lost | 2 |
            | mark an agent as left | request lost | 2 |
            | mark an agent as left | two requests lost | 2 |
            | mark an agent as left | write applied late | 2 |
            | register an entry | down for one call | 1 |
            | register an entry | down from that call on | 1 |
            | register an entry | slow for one call | 1 |
            | register an entry | response lost | 1 |
            | register an entry | two responses lost | 1 |
            | register an entry | request lost | 1 |
            | register an entry | two requests lost | 1 |
            | register an entry | write applied late | 1 |
            | renew an entry | down for one call | 2 |
            | renew an entry | down from that call on | 2 |
            | renew an entry | slow for one call | 2 |
            | renew an entry | response lost | 2 |
            | renew an entry | two responses lost | 2 |
            | renew an entry | request lost | 2 |
            | renew an entry | two requests lost | 2 |
            | renew an entry | write applied late | 2 |
            | mark an entry as left | down for one call | 2 |
            | mark an entry as left | down from that call on | 2 |
            | mark an entry as left | slow for one call | 2 |
            | mark an entry as left | response lost | 2 |
            | mark an entry as left | two responses lost | 2 |
            | mark an entry as left | request lost | 2 |
            | mark an entry as left | two requests lost | 2 |
            | mark an entry as left | write applied late | 2 |
            | read the registry | down for one call | 1 |
            | read the registry | down from that call on | 1 |
            | read the registry | slow for one call | 1 |
            | remove expired rows | down for one call | 3 |
            | remove expired rows | down from that call on | 3 |
            | remove expired rows | slow for one call | 3 |
            | remove expired rows | response lost | 3 |
            | remove expired rows | two responses lost | 3 |
            | remove expired rows | request lost | 3 |
            | remove expired rows | two requests lost | 3 |
            | remove expired rows | write applied late | 3 |
            | apply the first manifest | down for one call | 2 |
            | apply the first manifest | down from that call on | 2 |
            | apply the first manifest | slow for one call | 2 |
            | apply the first manifest | response lost | 2 |
            | apply the first manifest | two responses lost | 2 |
            | apply the first manifest | request lost | 2 |
            | apply the first manifest | two requests lost | 2 |
            | apply the first manifest | write applied late | 2 |
            | apply a change of the manifest | down for one call | 2 |
            | apply a change of the manifest | down from that call on | 2 |
            | apply a change of the manifest | slow for one call | 2 |
            | apply a change of the manifest | response lost | 2 |
            | apply a change of the manifest | two responses lost | 2 |
            | apply a change of the manifest | request lost | 2 |
            | apply a change of the manifest | two requests lost | 2 |
            | apply a change of the manifest | write applied late | 2 |
            | read the manifest | down for one call | 1 |
            | read the manifest | down from that call on | 1 |
            | read the manifest | slow for one call | 1 |
            | read the manifest's version | down for one call | 1 |
            | read the manifest's version | down from that call on | 1 |
            | read the manifest's version | slow for one call | 1 |
            | claim a key | down for one call | 1 |
            | claim a key | down from that call on | 1 |
            | claim a key | slow for one call | 1 |
            | claim a key | response lost | 1 |
            | claim a key | two responses lost | 1 |
            | claim a key | request lost | 1 |
            | claim a key | two requests lost | 1 |
            | claim a key | write applied late | 1 |
            | claim a bound key | down for one call | 2 |
            | claim a bound key | down from that call on | 2 |
            | claim a bound key | slow for one call | 2 |
            | claim a bound key | response lost | 2 |
            | claim a bound key | two responses lost | 2 |
            | claim a bound key | request lost | 2 |
            | claim a bound key | two requests lost | 2 |
            | claim a bound key | write applied late | 2 |
            | claim three keys of which one is bound | down for one call | 3 |
            | claim three keys of which one is bound | down from that call on | 3 |
            | claim three keys of which one is bound | slow for one call | 3 |
            | claim three keys of which one is bound | response lost | 3 |
            | claim three keys of which one is bound | two responses lost | 3 |
            | claim three keys of which one is bound | request lost | 3 |
            | claim three keys of which one is bound | two requests lost | 3 |
            | claim three keys of which one is bound | write applied late | 3 |
            | write answers | down for one call | 1 |
            | write answers | down from that call on | 1 |
            | write answers | slow for one call | 1 |
            | write answers | response lost | 1 |
            | write answers | two responses lost | 1 |
            | write answers | request lost | 1 |
            | write answers | two requests lost | 1 |
            | write answers | write applied late | 1 |
            | read answers | down for one call | 1 |
            | read answers | down from that call on | 1 |
            | read answers | slow for one call | 1 |
            | write a ledger | down for one call | 1 |
            | write a ledger | down from that call on | 1 |
            | write a ledger | slow for one call | 1 |
            | write a ledger | response lost | 1 |
            | write a ledger | two responses lost | 1 |
            | write a ledger | request lost | 1 |
            | write a ledger | two requests lost | 1 |
            | write a ledger | write applied late | 1 |
            | read a ledger | down for one call | 1 |
            | read a ledger | down from that call on | 1 |
            | read a ledger | slow for one call | 1 |
