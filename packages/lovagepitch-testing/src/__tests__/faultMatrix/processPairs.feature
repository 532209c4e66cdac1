Feature: Fault matrix, each fault twice and every two faults at every step of a process

    Scenario Outline: <fault> and a second fault while <step>
        When "<fault>" and each fault from it on strike while "<step>"
        Then every caller of the matrix has its final answer and no rule is broken

        Examples: entry killed
            | fault                                     | step                        |
            | entry killed                              | an agent is registering     |
            | entry killed                              | an entry is starting        |
            | entry killed                              | a backend server is leaving |
            | entry killed                              | an agent is stopping        |
            | entry killed                              | an agent writes its ledger  |
            | entry killed                              | an entry is stopping        |
            | entry killed                              | an entry writes its answers |

        Examples: agent killed
            | fault                                     | step                        |
            | agent killed                              | an agent is registering     |
            | agent killed                              | an entry is starting        |
            | agent killed                              | a backend server is leaving |
            | agent killed                              | an agent is stopping        |
            | agent killed                              | an agent writes its ledger  |
            | agent killed                              | an entry is stopping        |
            | agent killed                              | an entry writes its answers |

        Examples: backend server killed
            | fault                                     | step                        |
            | backend server killed                     | an agent is registering     |
            | backend server killed                     | an entry is starting        |
            | backend server killed                     | a backend server is leaving |
            | backend server killed                     | an agent is stopping        |
            | backend server killed                     | an agent writes its ledger  |
            | backend server killed                     | an entry is stopping        |
            | backend server killed                     | an entry writes its answers |

        Examples: rack lost
            | fault                                     | step                        |
            | rack lost                                 | an agent is registering     |
            | rack lost                                 | an entry is starting        |
            | rack lost                                 | a backend server is leaving |
            | rack lost                                 | an agent is stopping        |
            | rack lost                                 | an agent writes its ledger  |
            | rack lost                                 | an entry is stopping        |
            | rack lost                                 | an entry writes its answers |

        Examples: entry frozen and resumed
            | fault                                     | step                        |
            | entry frozen and resumed                  | an agent is registering     |
            | entry frozen and resumed                  | an entry is starting        |
            | entry frozen and resumed                  | a backend server is leaving |
            | entry frozen and resumed                  | an agent is stopping        |
            | entry frozen and resumed                  | an agent writes its ledger  |
            | entry frozen and resumed                  | an entry is stopping        |
            | entry frozen and resumed                  | an entry writes its answers |

        Examples: entry frozen before it sends
            | fault                                     | step                        |
            | entry frozen before it sends              | an agent is registering     |
            | entry frozen before it sends              | an entry is starting        |
            | entry frozen before it sends              | a backend server is leaving |
            | entry frozen before it sends              | an agent is stopping        |
            | entry frozen before it sends              | an agent writes its ledger  |
            | entry frozen before it sends              | an entry is stopping        |
            | entry frozen before it sends              | an entry writes its answers |

        Examples: agent frozen and resumed
            | fault                                     | step                        |
            | agent frozen and resumed                  | an agent is registering     |
            | agent frozen and resumed                  | an entry is starting        |
            | agent frozen and resumed                  | a backend server is leaving |
            | agent frozen and resumed                  | an agent is stopping        |
            | agent frozen and resumed                  | an agent writes its ledger  |
            | agent frozen and resumed                  | an entry is stopping        |
            | agent frozen and resumed                  | an entry writes its answers |

        Examples: agent frozen before it sends
            | fault                                     | step                        |
            | agent frozen before it sends              | an agent is registering     |
            | agent frozen before it sends              | an entry is starting        |
            | agent frozen before it sends              | a backend server is leaving |
            | agent frozen before it sends              | an agent is stopping        |
            | agent frozen before it sends              | an agent writes its ledger  |
            | agent frozen before it sends              | an entry is stopping        |
            | agent frozen before it sends              | an entry writes its answers |

        Examples: caller and entry silent
            | fault                                     | step                        |
            | caller and entry silent                   | an agent is registering     |
            | caller and entry silent                   | an entry is starting        |
            | caller and entry silent                   | a backend server is leaving |
            | caller and entry silent                   | an agent is stopping        |
            | caller and entry silent                   | an agent writes its ledger  |
            | caller and entry silent                   | an entry is stopping        |
            | caller and entry silent                   | an entry writes its answers |

        Examples: connection of two entries silent
            | fault                                     | step                        |
            | connection of two entries silent          | an agent is registering     |
            | connection of two entries silent          | an entry is starting        |
            | connection of two entries silent          | a backend server is leaving |
            | connection of two entries silent          | an agent is stopping        |
            | connection of two entries silent          | an agent writes its ledger  |
            | connection of two entries silent          | an entry is stopping        |
            | connection of two entries silent          | an entry writes its answers |

        Examples: entry and entry silent
            | fault                                     | step                        |
            | entry and entry silent                    | an agent is registering     |
            | entry and entry silent                    | an entry is starting        |
            | entry and entry silent                    | a backend server is leaving |
            | entry and entry silent                    | an agent is stopping        |
            | entry and entry silent                    | an agent writes its ledger  |
            | entry and entry silent                    | an entry is stopping        |
            | entry and entry silent                    | an entry writes its answers |

        Examples: entries cut off from each other
            | fault                                     | step                        |
            | entries cut off from each other           | an agent is registering     |
            | entries cut off from each other           | an entry is starting        |
            | entries cut off from each other           | a backend server is leaving |
            | entries cut off from each other           | an agent is stopping        |
            | entries cut off from each other           | an agent writes its ledger  |
            | entries cut off from each other           | an entry is stopping        |
            | entries cut off from each other           | an entry writes its answers |

        Examples: entry and agents silent
            | fault                                     | step                        |
            | entry and agents silent                   | an agent is registering     |
            | entry and agents silent                   | an entry is starting        |
            | entry and agents silent                   | a backend server is leaving |
            | entry and agents silent                   | an agent is stopping        |
            | entry and agents silent                   | an agent writes its ledger  |
            | entry and agents silent                   | an entry is stopping        |
            | entry and agents silent                   | an entry writes its answers |

        Examples: agents cannot reach entry
            | fault                                     | step                        |
            | agents cannot reach entry                 | an agent is registering     |
            | agents cannot reach entry                 | an entry is starting        |
            | agents cannot reach entry                 | a backend server is leaving |
            | agents cannot reach entry                 | an agent is stopping        |
            | agents cannot reach entry                 | an agent writes its ledger  |
            | agents cannot reach entry                 | an entry is stopping        |
            | agents cannot reach entry                 | an entry writes its answers |

        Examples: entry cannot reach agents
            | fault                                     | step                        |
            | entry cannot reach agents                 | an agent is registering     |
            | entry cannot reach agents                 | an entry is starting        |
            | entry cannot reach agents                 | a backend server is leaving |
            | entry cannot reach agents                 | an agent is stopping        |
            | entry cannot reach agents                 | an agent writes its ledger  |
            | entry cannot reach agents                 | an entry is stopping        |
            | entry cannot reach agents                 | an entry writes its answers |

        Examples: agent and backend server silent
            | fault                                     | step                        |
            | agent and backend server silent           | an agent is registering     |
            | agent and backend server silent           | an entry is starting        |
            | agent and backend server silent           | a backend server is leaving |
            | agent and backend server silent           | an agent is stopping        |
            | agent and backend server silent           | an agent writes its ledger  |
            | agent and backend server silent           | an entry is stopping        |
            | agent and backend server silent           | an entry writes its answers |

        Examples: platform down
            | fault                                     | step                        |
            | platform down                             | an agent is registering     |
            | platform down                             | an entry is starting        |
            | platform down                             | a backend server is leaving |
            | platform down                             | an agent is stopping        |
            | platform down                             | an agent writes its ledger  |
            | platform down                             | an entry is stopping        |
            | platform down                             | an entry writes its answers |

        Examples: platform slow
            | fault                                     | step                        |
            | platform slow                             | an agent is registering     |
            | platform slow                             | an entry is starting        |
            | platform slow                             | a backend server is leaving |
            | platform slow                             | an agent is stopping        |
            | platform slow                             | an agent writes its ledger  |
            | platform slow                             | an entry is stopping        |
            | platform slow                             | an entry writes its answers |

        Examples: platform answers lost
            | fault                                     | step                        |
            | platform answers lost                     | an agent is registering     |
            | platform answers lost                     | an entry is starting        |
            | platform answers lost                     | a backend server is leaving |
            | platform answers lost                     | an agent is stopping        |
            | platform answers lost                     | an agent writes its ledger  |
            | platform answers lost                     | an entry is stopping        |
            | platform answers lost                     | an entry writes its answers |

        Examples: two operators at once
            | fault                                     | step                        |
            | two operators at once                     | an agent is registering     |
            | two operators at once                     | an entry is starting        |
            | two operators at once                     | a backend server is leaving |
            | two operators at once                     | an agent is stopping        |
            | two operators at once                     | an agent writes its ledger  |
            | two operators at once                     | an entry is stopping        |
            | two operators at once                     | an entry writes its answers |

        Examples: same submission at two entries
            | fault                                     | step                        |
            | same submission at two entries            | an agent is registering     |
            | same submission at two entries            | an entry is starting        |
            | same submission at two entries            | a backend server is leaving |
            | same submission at two entries            | an agent is stopping        |
            | same submission at two entries            | an agent writes its ledger  |
            | same submission at two entries            | an entry is stopping        |
            | same submission at two entries            | an entry writes its answers |

        Examples: late messages
            | fault                                     | step                        |
            | late messages                             | an agent is registering     |
            | late messages                             | an entry is starting        |
            | late messages                             | a backend server is leaving |
            | late messages                             | an agent is stopping        |
            | late messages                             | an agent writes its ledger  |
            | late messages                             | an entry is stopping        |
            | late messages                             | an entry writes its answers |

        Examples: doubled messages
            | fault                                     | step                        |
            | doubled messages                          | an agent is registering     |
            | doubled messages                          | an entry is starting        |
            | doubled messages                          | a backend server is leaving |
            | doubled messages                          | an agent is stopping        |
            | doubled messages                          | an agent writes its ledger  |
            | doubled messages                          | an entry is stopping        |
            | doubled messages                          | an entry writes its answers |

        Examples: reordered messages
            | fault                                     | step                        |
            | reordered messages                        | an agent is registering     |
            | reordered messages                        | an entry is starting        |
            | reordered messages                        | a backend server is leaving |
            | reordered messages                        | an agent is stopping        |
            | reordered messages                        | an agent writes its ledger  |
            | reordered messages                        | an entry is stopping        |
            | reordered messages                        | an entry writes its answers |

        Examples: doubled and very late messages
            | fault                                     | step                        |
            | doubled and very late messages            | an agent is registering     |
            | doubled and very late messages            | an entry is starting        |
            | doubled and very late messages            | a backend server is leaving |
            | doubled and very late messages            | an agent is stopping        |
            | doubled and very late messages            | an agent writes its ledger  |
            | doubled and very late messages            | an entry is stopping        |
            | doubled and very late messages            | an entry writes its answers |

        Examples: half of the messages lost
            | fault                                     | step                        |
            | half of the messages lost                 | an agent is registering     |
            | half of the messages lost                 | an entry is starting        |
            | half of the messages lost                 | a backend server is leaving |
            | half of the messages lost                 | an agent is stopping        |
            | half of the messages lost                 | an agent writes its ledger  |
            | half of the messages lost                 | an entry is stopping        |
            | half of the messages lost                 | an entry writes its answers |

        Examples: cancellation wave
            | fault                                     | step                        |
            | cancellation wave                         | an agent is registering     |
            | cancellation wave                         | an entry is starting        |
            | cancellation wave                         | a backend server is leaving |
            | cancellation wave                         | an agent is stopping        |
            | cancellation wave                         | an agent writes its ledger  |
            | cancellation wave                         | an entry is stopping        |
            | cancellation wave                         | an entry writes its answers |

        Examples: burst
            | fault                                     | step                        |
            | burst                                     | an agent is registering     |
            | burst                                     | an entry is starting        |
            | burst                                     | a backend server is leaving |
            | burst                                     | an agent is stopping        |
            | burst                                     | an agent writes its ledger  |
            | burst                                     | an entry is stopping        |
            | burst                                     | an entry writes its answers |

        Examples: backend server fails everything
            | fault                                     | step                        |
            | backend server fails everything           | an agent is registering     |
            | backend server fails everything           | an entry is starting        |
            | backend server fails everything           | a backend server is leaving |
            | backend server fails everything           | an agent is stopping        |
            | backend server fails everything           | an agent writes its ledger  |
            | backend server fails everything           | an entry is stopping        |
            | backend server fails everything           | an entry writes its answers |

        Examples: stragglers
            | fault                                     | step                        |
            | stragglers                                | an agent is registering     |
            | stragglers                                | an entry is starting        |
            | stragglers                                | a backend server is leaving |
            | stragglers                                | an agent is stopping        |
            | stragglers                                | an agent writes its ledger  |
            | stragglers                                | an entry is stopping        |
            | stragglers                                | an entry writes its answers |

        Examples: declared times far off
            | fault                                     | step                        |
            | declared times far off                    | an agent is registering     |
            | declared times far off                    | an entry is starting        |
            | declared times far off                    | a backend server is leaving |
            | declared times far off                    | an agent is stopping        |
            | declared times far off                    | an agent writes its ledger  |
            | declared times far off                    | an entry is stopping        |
            | declared times far off                    | an entry writes its answers |

        Examples: jobs that can never run
            | fault                                     | step                        |
            | jobs that can never run                   | an agent is registering     |
            | jobs that can never run                   | an entry is starting        |
            | jobs that can never run                   | a backend server is leaving |
            | jobs that can never run                   | an agent is stopping        |
            | jobs that can never run                   | an agent writes its ledger  |
            | jobs that can never run                   | an entry is stopping        |
            | jobs that can never run                   | an entry writes its answers |

        Examples: agent registers during a sweep
            | fault                                     | step                        |
            | agent registers during a sweep            | an agent is registering     |
            | agent registers during a sweep            | an entry is starting        |
            | agent registers during a sweep            | a backend server is leaving |
            | agent registers during a sweep            | an agent is stopping        |
            | agent registers during a sweep            | an agent writes its ledger  |
            | agent registers during a sweep            | an entry is stopping        |
            | agent registers during a sweep            | an entry writes its answers |

        Examples: agent registers while the entry is paused
            | fault                                     | step                        |
            | agent registers while the entry is paused | an agent is registering     |
            | agent registers while the entry is paused | an entry is starting        |
            | agent registers while the entry is paused | a backend server is leaving |
            | agent registers while the entry is paused | an agent is stopping        |
            | agent registers while the entry is paused | an agent writes its ledger  |
            | agent registers while the entry is paused | an entry is stopping        |
            | agent registers while the entry is paused | an entry writes its answers |

        Examples: backend server leaves
            | fault                                     | step                        |
            | backend server leaves                     | an agent is registering     |
            | backend server leaves                     | an entry is starting        |
            | backend server leaves                     | a backend server is leaving |
            | backend server leaves                     | an agent is stopping        |
            | backend server leaves                     | an agent writes its ledger  |
            | backend server leaves                     | an entry is stopping        |
            | backend server leaves                     | an entry writes its answers |

        Examples: planned stop of the agent
            | fault                                     | step                        |
            | planned stop of the agent                 | an agent is registering     |
            | planned stop of the agent                 | an entry is starting        |
            | planned stop of the agent                 | a backend server is leaving |
            | planned stop of the agent                 | an agent is stopping        |
            | planned stop of the agent                 | an agent writes its ledger  |
            | planned stop of the agent                 | an entry is stopping        |
            | planned stop of the agent                 | an entry writes its answers |

        Examples: planned stop of the entry
            | fault                                     | step                        |
            | planned stop of the entry                 | an agent is registering     |
            | planned stop of the entry                 | an entry is starting        |
            | planned stop of the entry                 | a backend server is leaving |
            | planned stop of the entry                 | an agent is stopping        |
            | planned stop of the entry                 | an agent writes its ledger  |
            | planned stop of the entry                 | an entry is stopping        |
            | planned stop of the entry                 | an entry writes its answers |
