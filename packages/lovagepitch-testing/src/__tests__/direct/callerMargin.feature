@direct
Feature: The margin of the time that callers wait

    Each row searches for its own worst instant: the entry's lease is renewed until the entry notices the break, the
    workers' clocks are as slow as the platform permits, the workers' lease is extended at each millisecond around the
    expiry, and agents go on or are frozen then.

    # Guards against a sum of the leases and allowances that is longer than what entries and callers count on.
    Scenario Outline: Nothing runs <bound> ms after a connection broke that the entry notices <noticed> ms later, its workers <stops> stops
        When the connection of a long job's caller breaks, entry 0 notices it <noticed> ms later and sends nothing more, and workers <stops> stops
        Then no long task runs <bound> ms after the break, but one runs <reached> ms after it

        Examples:
            | noticed | stops   | bound | reached |
            | 0       | execute | 1274  | 1205    |
            | 0       | refuse  | 1274  | 1272    |
            | 26      | execute | 1300  | 1231    |
            | 26      | refuse  | 1300  | 1298    |
