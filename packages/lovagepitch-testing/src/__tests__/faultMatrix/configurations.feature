Feature: Fault matrix, every fault at every step of a configuration

    Scenario Outline: <fault> while <step>
        When the fault "<fault>" occurs while "<step>"
        Then every caller of the matrix has its final answer and no rule is violated

        Examples: entry killed
            | fault                                     | step                                      |
            | entry killed                              | a manifest write is sent                  |
            | entry killed                              | a manifest is accepted and not propagated |
            | entry killed                              | a manifest is partly propagated           |

        Examples: agent killed
            | fault                                     | step                                      |
            | agent killed                              | a manifest write is sent                  |
            | agent killed                              | a manifest is accepted and not propagated |
            | agent killed                              | a manifest is partly propagated           |

        Examples: backend server killed
            | fault                                     | step                                      |
            | backend server killed                     | a manifest write is sent                  |
            | backend server killed                     | a manifest is accepted and not propagated |
            | backend server killed                     | a manifest is partly propagated           |

        Examples: rack lost
            | fault                                     | step                                      |
            | rack lost                                 | a manifest write is sent                  |
            | rack lost                                 | a manifest is accepted and not propagated |
            | rack lost                                 | a manifest is partly propagated           |

        Examples: entry frozen and resumed
            | fault                                     | step                                      |
            | entry frozen and resumed                  | a manifest write is sent                  |
            | entry frozen and resumed                  | a manifest is accepted and not propagated |
            | entry frozen and resumed                  | a manifest is partly propagated           |

        Examples: entry frozen before it sends
            | fault                                     | step                                      |
            | entry frozen before it sends              | a manifest write is sent                  |
            | entry frozen before it sends              | a manifest is accepted and not propagated |
            | entry frozen before it sends              | a manifest is partly propagated           |

        Examples: agent frozen and resumed
            | fault                                     | step                                      |
            | agent frozen and resumed                  | a manifest write is sent                  |
            | agent frozen and resumed                  | a manifest is accepted and not propagated |
            | agent frozen and resumed                  | a manifest is partly propagated           |

        Examples: agent frozen before it sends
            | fault                                     | step                                      |
            | agent frozen before it sends              | a manifest write is sent                  |
            | agent frozen before it sends              | a manifest is accepted and not propagated |
            | agent frozen before it sends              | a manifest is partly propagated           |

        Examples: caller and entry partitioned
            | fault                                     | step                                      |
            | caller and entry partitioned              | a manifest write is sent                  |
            | caller and entry partitioned              | a manifest is accepted and not propagated |
            | caller and entry partitioned              | a manifest is partly propagated           |

        Examples: connection between two entries stalled
            | fault                                     | step                                      |
            | connection between two entries stalled    | a manifest write is sent                  |
            | connection between two entries stalled    | a manifest is accepted and not propagated |
            | connection between two entries stalled    | a manifest is partly propagated           |

        Examples: entries partitioned briefly
            | fault                                     | step                                      |
            | entries partitioned briefly               | a manifest write is sent                  |
            | entries partitioned briefly               | a manifest is accepted and not propagated |
            | entries partitioned briefly               | a manifest is partly propagated           |

        Examples: entries partitioned
            | fault                                     | step                                      |
            | entries partitioned                       | a manifest write is sent                  |
            | entries partitioned                       | a manifest is accepted and not propagated |
            | entries partitioned                       | a manifest is partly propagated           |

        Examples: entry and agents partitioned
            | fault                                     | step                                      |
            | entry and agents partitioned              | a manifest write is sent                  |
            | entry and agents partitioned              | a manifest is accepted and not propagated |
            | entry and agents partitioned              | a manifest is partly propagated           |

        Examples: agents cannot reach entry
            | fault                                     | step                                      |
            | agents cannot reach entry                 | a manifest write is sent                  |
            | agents cannot reach entry                 | a manifest is accepted and not propagated |
            | agents cannot reach entry                 | a manifest is partly propagated           |

        Examples: entry cannot reach agents
            | fault                                     | step                                      |
            | entry cannot reach agents                 | a manifest write is sent                  |
            | entry cannot reach agents                 | a manifest is accepted and not propagated |
            | entry cannot reach agents                 | a manifest is partly propagated           |

        Examples: agent and backend server partitioned
            | fault                                     | step                                      |
            | agent and backend server partitioned      | a manifest write is sent                  |
            | agent and backend server partitioned      | a manifest is accepted and not propagated |
            | agent and backend server partitioned      | a manifest is partly propagated           |

        Examples: platform down
            | fault                                     | step                                      |
            | platform down                             | a manifest write is sent                  |
            | platform down                             | a manifest is accepted and not propagated |
            | platform down                             | a manifest is partly propagated           |

        Examples: platform slow
            | fault                                     | step                                      |
            | platform slow                             | a manifest write is sent                  |
            | platform slow                             | a manifest is accepted and not propagated |
            | platform slow                             | a manifest is partly propagated           |

        Examples: platform responses lost
            | fault                                     | step                                      |
            | platform responses lost                   | a manifest write is sent                  |
            | platform responses lost                   | a manifest is accepted and not propagated |
            | platform responses lost                   | a manifest is partly propagated           |

        Examples: two concurrent operators
            | fault                                     | step                                      |
            | two concurrent operators                  | a manifest write is sent                  |
            | two concurrent operators                  | a manifest is accepted and not propagated |
            | two concurrent operators                  | a manifest is partly propagated           |

        Examples: same submission at two entries
            | fault                                     | step                                      |
            | same submission at two entries            | a manifest write is sent                  |
            | same submission at two entries            | a manifest is accepted and not propagated |
            | same submission at two entries            | a manifest is partly propagated           |

        Examples: delayed messages
            | fault                                     | step                                      |
            | delayed messages                          | a manifest write is sent                  |
            | delayed messages                          | a manifest is accepted and not propagated |
            | delayed messages                          | a manifest is partly propagated           |

        Examples: duplicated messages
            | fault                                     | step                                      |
            | duplicated messages                       | a manifest write is sent                  |
            | duplicated messages                       | a manifest is accepted and not propagated |
            | duplicated messages                       | a manifest is partly propagated           |

        Examples: reordered messages
            | fault                                     | step                                      |
            | reordered messages                        | a manifest write is sent                  |
            | reordered messages                        | a manifest is accepted and not propagated |
            | reordered messages                        | a manifest is partly propagated           |

        Examples: duplicated and long delayed messages
            | fault                                     | step                                      |
            | duplicated and long delayed messages      | a manifest write is sent                  |
            | duplicated and long delayed messages      | a manifest is accepted and not propagated |
            | duplicated and long delayed messages      | a manifest is partly propagated           |

        Examples: half of the messages lost
            | fault                                     | step                                      |
            | half of the messages lost                 | a manifest write is sent                  |
            | half of the messages lost                 | a manifest is accepted and not propagated |
            | half of the messages lost                 | a manifest is partly propagated           |

        Examples: burst of cancellations
            | fault                                     | step                                      |
            | burst of cancellations                    | a manifest write is sent                  |
            | burst of cancellations                    | a manifest is accepted and not propagated |
            | burst of cancellations                    | a manifest is partly propagated           |

        Examples: burst of jobs
            | fault                                     | step                                      |
            | burst of jobs                             | a manifest write is sent                  |
            | burst of jobs                             | a manifest is accepted and not propagated |
            | burst of jobs                             | a manifest is partly propagated           |

        Examples: backend server fails every task
            | fault                                     | step                                      |
            | backend server fails every task           | a manifest write is sent                  |
            | backend server fails every task           | a manifest is accepted and not propagated |
            | backend server fails every task           | a manifest is partly propagated           |

        Examples: stragglers
            | fault                                     | step                                      |
            | stragglers                                | a manifest write is sent                  |
            | stragglers                                | a manifest is accepted and not propagated |
            | stragglers                                | a manifest is partly propagated           |

        Examples: wrong expected task times
            | fault                                     | step                                      |
            | wrong expected task times                 | a manifest write is sent                  |
            | wrong expected task times                 | a manifest is accepted and not propagated |
            | wrong expected task times                 | a manifest is partly propagated           |

        Examples: jobs that can never run
            | fault                                     | step                                      |
            | jobs that can never run                   | a manifest write is sent                  |
            | jobs that can never run                   | a manifest is accepted and not propagated |
            | jobs that can never run                   | a manifest is partly propagated           |

        Examples: agent registers during a sweep
            | fault                                     | step                                      |
            | agent registers during a sweep            | a manifest write is sent                  |
            | agent registers during a sweep            | a manifest is accepted and not propagated |
            | agent registers during a sweep            | a manifest is partly propagated           |

        Examples: agent registers while the entry is frozen
            | fault                                     | step                                      |
            | agent registers while the entry is frozen | a manifest write is sent                  |
            | agent registers while the entry is frozen | a manifest is accepted and not propagated |
            | agent registers while the entry is frozen | a manifest is partly propagated           |

        Examples: backend server drains
            | fault                                     | step                                      |
            | backend server drains                     | a manifest write is sent                  |
            | backend server drains                     | a manifest is accepted and not propagated |
            | backend server drains                     | a manifest is partly propagated           |

        Examples: graceful shutdown of the agent
            | fault                                     | step                                      |
            | graceful shutdown of the agent            | a manifest write is sent                  |
            | graceful shutdown of the agent            | a manifest is accepted and not propagated |
            | graceful shutdown of the agent            | a manifest is partly propagated           |

        Examples: graceful shutdown of the entry
            | fault                                     | step                                      |
            | graceful shutdown of the entry            | a manifest write is sent                  |
            | graceful shutdown of the entry            | a manifest is accepted and not propagated |
            | graceful shutdown of the entry            | a manifest is partly propagated           |
