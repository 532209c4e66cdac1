Feature: Fault matrix, every fault at every step of a process

    Scenario Outline: <fault> while <step>
        When the fault "<fault>" occurs while "<step>"
        Then every caller of the matrix has its final answer and no rule is violated

        Examples: entry killed
            | fault                                     | step                         |
            | entry killed                              | an agent is registering      |
            | entry killed                              | an entry is starting         |
            | entry killed                              | a backend server is draining |
            | entry killed                              | an agent is stopping         |
            | entry killed                              | an agent writes its ledger   |
            | entry killed                              | an entry is stopping         |
            | entry killed                              | an entry writes its answers  |

        Examples: agent killed
            | fault                                     | step                         |
            | agent killed                              | an agent is registering      |
            | agent killed                              | an entry is starting         |
            | agent killed                              | a backend server is draining |
            | agent killed                              | an agent is stopping         |
            | agent killed                              | an agent writes its ledger   |
            | agent killed                              | an entry is stopping         |
            | agent killed                              | an entry writes its answers  |

        Examples: backend server killed
            | fault                                     | step                         |
            | backend server killed                     | an agent is registering      |
            | backend server killed                     | an entry is starting         |
            | backend server killed                     | a backend server is draining |
            | backend server killed                     | an agent is stopping         |
            | backend server killed                     | an agent writes its ledger   |
            | backend server killed                     | an entry is stopping         |
            | backend server killed                     | an entry writes its answers  |

        Examples: rack lost
            | fault                                     | step                         |
            | rack lost                                 | an agent is registering      |
            | rack lost                                 | an entry is starting         |
            | rack lost                                 | a backend server is draining |
            | rack lost                                 | an agent is stopping         |
            | rack lost                                 | an agent writes its ledger   |
            | rack lost                                 | an entry is stopping         |
            | rack lost                                 | an entry writes its answers  |

        Examples: entry frozen and resumed
            | fault                                     | step                         |
            | entry frozen and resumed                  | an agent is registering      |
            | entry frozen and resumed                  | an entry is starting         |
            | entry frozen and resumed                  | a backend server is draining |
            | entry frozen and resumed                  | an agent is stopping         |
            | entry frozen and resumed                  | an agent writes its ledger   |
            | entry frozen and resumed                  | an entry is stopping         |
            | entry frozen and resumed                  | an entry writes its answers  |

        Examples: entry frozen before it sends
            | fault                                     | step                         |
            | entry frozen before it sends              | an agent is registering      |
            | entry frozen before it sends              | an entry is starting         |
            | entry frozen before it sends              | a backend server is draining |
            | entry frozen before it sends              | an agent is stopping         |
            | entry frozen before it sends              | an agent writes its ledger   |
            | entry frozen before it sends              | an entry is stopping         |
            | entry frozen before it sends              | an entry writes its answers  |

        Examples: agent frozen and resumed
            | fault                                     | step                         |
            | agent frozen and resumed                  | an agent is registering      |
            | agent frozen and resumed                  | an entry is starting         |
            | agent frozen and resumed                  | a backend server is draining |
            | agent frozen and resumed                  | an agent is stopping         |
            | agent frozen and resumed                  | an agent writes its ledger   |
            | agent frozen and resumed                  | an entry is stopping         |
            | agent frozen and resumed                  | an entry writes its answers  |

        Examples: agent frozen before it sends
            | fault                                     | step                         |
            | agent frozen before it sends              | an agent is registering      |
            | agent frozen before it sends              | an entry is starting         |
            | agent frozen before it sends              | a backend server is draining |
            | agent frozen before it sends              | an agent is stopping         |
            | agent frozen before it sends              | an agent writes its ledger   |
            | agent frozen before it sends              | an entry is stopping         |
            | agent frozen before it sends              | an entry writes its answers  |

        Examples: caller and entry partitioned
            | fault                                     | step                         |
            | caller and entry partitioned              | an agent is registering      |
            | caller and entry partitioned              | an entry is starting         |
            | caller and entry partitioned              | a backend server is draining |
            | caller and entry partitioned              | an agent is stopping         |
            | caller and entry partitioned              | an agent writes its ledger   |
            | caller and entry partitioned              | an entry is stopping         |
            | caller and entry partitioned              | an entry writes its answers  |

        Examples: connection between two entries stalled
            | fault                                     | step                         |
            | connection between two entries stalled    | an agent is registering      |
            | connection between two entries stalled    | an entry is starting         |
            | connection between two entries stalled    | a backend server is draining |
            | connection between two entries stalled    | an agent is stopping         |
            | connection between two entries stalled    | an agent writes its ledger   |
            | connection between two entries stalled    | an entry is stopping         |
            | connection between two entries stalled    | an entry writes its answers  |

        Examples: entries partitioned briefly
            | fault                                     | step                         |
            | entries partitioned briefly               | an agent is registering      |
            | entries partitioned briefly               | an entry is starting         |
            | entries partitioned briefly               | a backend server is draining |
            | entries partitioned briefly               | an agent is stopping         |
            | entries partitioned briefly               | an agent writes its ledger   |
            | entries partitioned briefly               | an entry is stopping         |
            | entries partitioned briefly               | an entry writes its answers  |

        Examples: entries partitioned
            | fault                                     | step                         |
            | entries partitioned                       | an agent is registering      |
            | entries partitioned                       | an entry is starting         |
            | entries partitioned                       | a backend server is draining |
            | entries partitioned                       | an agent is stopping         |
            | entries partitioned                       | an agent writes its ledger   |
            | entries partitioned                       | an entry is stopping         |
            | entries partitioned                       | an entry writes its answers  |

        Examples: entry and agents partitioned
            | fault                                     | step                         |
            | entry and agents partitioned              | an agent is registering      |
            | entry and agents partitioned              | an entry is starting         |
            | entry and agents partitioned              | a backend server is draining |
            | entry and agents partitioned              | an agent is stopping         |
            | entry and agents partitioned              | an agent writes its ledger   |
            | entry and agents partitioned              | an entry is stopping         |
            | entry and agents partitioned              | an entry writes its answers  |

        Examples: agents cannot reach entry
            | fault                                     | step                         |
            | agents cannot reach entry                 | an agent is registering      |
            | agents cannot reach entry                 | an entry is starting         |
            | agents cannot reach entry                 | a backend server is draining |
            | agents cannot reach entry                 | an agent is stopping         |
            | agents cannot reach entry                 | an agent writes its ledger   |
            | agents cannot reach entry                 | an entry is stopping         |
            | agents cannot reach entry                 | an entry writes its answers  |

        Examples: entry cannot reach agents
            | fault                                     | step                         |
            | entry cannot reach agents                 | an agent is registering      |
            | entry cannot reach agents                 | an entry is starting         |
            | entry cannot reach agents                 | a backend server is draining |
            | entry cannot reach agents                 | an agent is stopping         |
            | entry cannot reach agents                 | an agent writes its ledger   |
            | entry cannot reach agents                 | an entry is stopping         |
            | entry cannot reach agents                 | an entry writes its answers  |

        Examples: agent and backend server partitioned
            | fault                                     | step                         |
            | agent and backend server partitioned      | an agent is registering      |
            | agent and backend server partitioned      | an entry is starting         |
            | agent and backend server partitioned      | a backend server is draining |
            | agent and backend server partitioned      | an agent is stopping         |
            | agent and backend server partitioned      | an agent writes its ledger   |
            | agent and backend server partitioned      | an entry is stopping         |
            | agent and backend server partitioned      | an entry writes its answers  |

        Examples: platform down
            | fault                                     | step                         |
            | platform down                             | an agent is registering      |
            | platform down                             | an entry is starting         |
            | platform down                             | a backend server is draining |
            | platform down                             | an agent is stopping         |
            | platform down                             | an agent writes its ledger   |
            | platform down                             | an entry is stopping         |
            | platform down                             | an entry writes its answers  |

        Examples: platform slow
            | fault                                     | step                         |
            | platform slow                             | an agent is registering      |
            | platform slow                             | an entry is starting         |
            | platform slow                             | a backend server is draining |
            | platform slow                             | an agent is stopping         |
            | platform slow                             | an agent writes its ledger   |
            | platform slow                             | an entry is stopping         |
            | platform slow                             | an entry writes its answers  |

        Examples: platform responses lost
            | fault                                     | step                         |
            | platform responses lost                   | an agent is registering      |
            | platform responses lost                   | an entry is starting         |
            | platform responses lost                   | a backend server is draining |
            | platform responses lost                   | an agent is stopping         |
            | platform responses lost                   | an agent writes its ledger   |
            | platform responses lost                   | an entry is stopping         |
            | platform responses lost                   | an entry writes its answers  |

        Examples: two concurrent operators
            | fault                                     | step                         |
            | two concurrent operators                  | an agent is registering      |
            | two concurrent operators                  | an entry is starting         |
            | two concurrent operators                  | a backend server is draining |
            | two concurrent operators                  | an agent is stopping         |
            | two concurrent operators                  | an agent writes its ledger   |
            | two concurrent operators                  | an entry is stopping         |
            | two concurrent operators                  | an entry writes its answers  |

        Examples: same submission at two entries
            | fault                                     | step                         |
            | same submission at two entries            | an agent is registering      |
            | same submission at two entries            | an entry is starting         |
            | same submission at two entries            | a backend server is draining |
            | same submission at two entries            | an agent is stopping         |
            | same submission at two entries            | an agent writes its ledger   |
            | same submission at two entries            | an entry is stopping         |
            | same submission at two entries            | an entry writes its answers  |

        Examples: delayed messages
            | fault                                     | step                         |
            | delayed messages                          | an agent is registering      |
            | delayed messages                          | an entry is starting         |
            | delayed messages                          | a backend server is draining |
            | delayed messages                          | an agent is stopping         |
            | delayed messages                          | an agent writes its ledger   |
            | delayed messages                          | an entry is stopping         |
            | delayed messages                          | an entry writes its answers  |

        Examples: duplicated messages
            | fault                                     | step                         |
            | duplicated messages                       | an agent is registering      |
            | duplicated messages                       | an entry is starting         |
            | duplicated messages                       | a backend server is draining |
            | duplicated messages                       | an agent is stopping         |
            | duplicated messages                       | an agent writes its ledger   |
            | duplicated messages                       | an entry is stopping         |
            | duplicated messages                       | an entry writes its answers  |

        Examples: reordered messages
            | fault                                     | step                         |
            | reordered messages                        | an agent is registering      |
            | reordered messages                        | an entry is starting         |
            | reordered messages                        | a backend server is draining |
            | reordered messages                        | an agent is stopping         |
            | reordered messages                        | an agent writes its ledger   |
            | reordered messages                        | an entry is stopping         |
            | reordered messages                        | an entry writes its answers  |

        Examples: duplicated and long delayed messages
            | fault                                     | step                         |
            | duplicated and long delayed messages      | an agent is registering      |
            | duplicated and long delayed messages      | an entry is starting         |
            | duplicated and long delayed messages      | a backend server is draining |
            | duplicated and long delayed messages      | an agent is stopping         |
            | duplicated and long delayed messages      | an agent writes its ledger   |
            | duplicated and long delayed messages      | an entry is stopping         |
            | duplicated and long delayed messages      | an entry writes its answers  |

        Examples: half of the messages lost
            | fault                                     | step                         |
            | half of the messages lost                 | an agent is registering      |
            | half of the messages lost                 | an entry is starting         |
            | half of the messages lost                 | a backend server is draining |
            | half of the messages lost                 | an agent is stopping         |
            | half of the messages lost                 | an agent writes its ledger   |
            | half of the messages lost                 | an entry is stopping         |
            | half of the messages lost                 | an entry writes its answers  |

        Examples: burst of cancellations
            | fault                                     | step                         |
            | burst of cancellations                    | an agent is registering      |
            | burst of cancellations                    | an entry is starting         |
            | burst of cancellations                    | a backend server is draining |
            | burst of cancellations                    | an agent is stopping         |
            | burst of cancellations                    | an agent writes its ledger   |
            | burst of cancellations                    | an entry is stopping         |
            | burst of cancellations                    | an entry writes its answers  |

        Examples: burst of jobs
            | fault                                     | step                         |
            | burst of jobs                             | an agent is registering      |
            | burst of jobs                             | an entry is starting         |
            | burst of jobs                             | a backend server is draining |
            | burst of jobs                             | an agent is stopping         |
            | burst of jobs                             | an agent writes its ledger   |
            | burst of jobs                             | an entry is stopping         |
            | burst of jobs                             | an entry writes its answers  |

        Examples: backend server fails every task
            | fault                                     | step                         |
            | backend server fails every task           | an agent is registering      |
            | backend server fails every task           | an entry is starting         |
            | backend server fails every task           | a backend server is draining |
            | backend server fails every task           | an agent is stopping         |
            | backend server fails every task           | an agent writes its ledger   |
            | backend server fails every task           | an entry is stopping         |
            | backend server fails every task           | an entry writes its answers  |

        Examples: stragglers
            | fault                                     | step                         |
            | stragglers                                | an agent is registering      |
            | stragglers                                | an entry is starting         |
            | stragglers                                | a backend server is draining |
            | stragglers                                | an agent is stopping         |
            | stragglers                                | an agent writes its ledger   |
            | stragglers                                | an entry is stopping         |
            | stragglers                                | an entry writes its answers  |

        Examples: wrong expected task times
            | fault                                     | step                         |
            | wrong expected task times                 | an agent is registering      |
            | wrong expected task times                 | an entry is starting         |
            | wrong expected task times                 | a backend server is draining |
            | wrong expected task times                 | an agent is stopping         |
            | wrong expected task times                 | an agent writes its ledger   |
            | wrong expected task times                 | an entry is stopping         |
            | wrong expected task times                 | an entry writes its answers  |

        Examples: jobs that can never run
            | fault                                     | step                         |
            | jobs that can never run                   | an agent is registering      |
            | jobs that can never run                   | an entry is starting         |
            | jobs that can never run                   | a backend server is draining |
            | jobs that can never run                   | an agent is stopping         |
            | jobs that can never run                   | an agent writes its ledger   |
            | jobs that can never run                   | an entry is stopping         |
            | jobs that can never run                   | an entry writes its answers  |

        Examples: agent registers during a sweep
            | fault                                     | step                         |
            | agent registers during a sweep            | an agent is registering      |
            | agent registers during a sweep            | an entry is starting         |
            | agent registers during a sweep            | a backend server is draining |
            | agent registers during a sweep            | an agent is stopping         |
            | agent registers during a sweep            | an agent writes its ledger   |
            | agent registers during a sweep            | an entry is stopping         |
            | agent registers during a sweep            | an entry writes its answers  |

        Examples: agent registers while the entry is frozen
            | fault                                     | step                         |
            | agent registers while the entry is frozen | an agent is registering      |
            | agent registers while the entry is frozen | an entry is starting         |
            | agent registers while the entry is frozen | a backend server is draining |
            | agent registers while the entry is frozen | an agent is stopping         |
            | agent registers while the entry is frozen | an agent writes its ledger   |
            | agent registers while the entry is frozen | an entry is stopping         |
            | agent registers while the entry is frozen | an entry writes its answers  |

        Examples: backend server drains
            | fault                                     | step                         |
            | backend server drains                     | an agent is registering      |
            | backend server drains                     | an entry is starting         |
            | backend server drains                     | a backend server is draining |
            | backend server drains                     | an agent is stopping         |
            | backend server drains                     | an agent writes its ledger   |
            | backend server drains                     | an entry is stopping         |
            | backend server drains                     | an entry writes its answers  |

        Examples: graceful shutdown of the agent
            | fault                                     | step                         |
            | graceful shutdown of the agent            | an agent is registering      |
            | graceful shutdown of the agent            | an entry is starting         |
            | graceful shutdown of the agent            | a backend server is draining |
            | graceful shutdown of the agent            | an agent is stopping         |
            | graceful shutdown of the agent            | an agent writes its ledger   |
            | graceful shutdown of the agent            | an entry is stopping         |
            | graceful shutdown of the agent            | an entry writes its answers  |

        Examples: graceful shutdown of the entry
            | fault                                     | step                         |
            | graceful shutdown of the entry            | an agent is registering      |
            | graceful shutdown of the entry            | an entry is starting         |
            | graceful shutdown of the entry            | a backend server is draining |
            | graceful shutdown of the entry            | an agent is stopping         |
            | graceful shutdown of the entry            | an agent writes its ledger   |
            | graceful shutdown of the entry            | an entry is stopping         |
            | graceful shutdown of the entry            | an entry writes its answers  |
