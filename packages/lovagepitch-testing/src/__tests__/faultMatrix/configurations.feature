Feature: Fault matrix, every fault at every step of a configuration

    Scenario Outline: <fault> while <step>
        When "<fault>" strikes while "<step>"
        Then every caller of the matrix has its final answer and no rule is broken

        Examples: entry killed
            | fault                                     | step                                  |
            | entry killed                              | a manifest write is sent              |
            | entry killed                              | a manifest is accepted and not spread |
            | entry killed                              | a manifest is spread in part          |

        Examples: agent killed
            | fault                                     | step                                  |
            | agent killed                              | a manifest write is sent              |
            | agent killed                              | a manifest is accepted and not spread |
            | agent killed                              | a manifest is spread in part          |

        Examples: backend server killed
            | fault                                     | step                                  |
            | backend server killed                     | a manifest write is sent              |
            | backend server killed                     | a manifest is accepted and not spread |
            | backend server killed                     | a manifest is spread in part          |

        Examples: rack lost
            | fault                                     | step                                  |
            | rack lost                                 | a manifest write is sent              |
            | rack lost                                 | a manifest is accepted and not spread |
            | rack lost                                 | a manifest is spread in part          |

        Examples: entry frozen and resumed
            | fault                                     | step                                  |
            | entry frozen and resumed                  | a manifest write is sent              |
            | entry frozen and resumed                  | a manifest is accepted and not spread |
            | entry frozen and resumed                  | a manifest is spread in part          |

        Examples: entry frozen before it sends
            | fault                                     | step                                  |
            | entry frozen before it sends              | a manifest write is sent              |
            | entry frozen before it sends              | a manifest is accepted and not spread |
            | entry frozen before it sends              | a manifest is spread in part          |

        Examples: agent frozen and resumed
            | fault                                     | step                                  |
            | agent frozen and resumed                  | a manifest write is sent              |
            | agent frozen and resumed                  | a manifest is accepted and not spread |
            | agent frozen and resumed                  | a manifest is spread in part          |

        Examples: agent frozen before it sends
            | fault                                     | step                                  |
            | agent frozen before it sends              | a manifest write is sent              |
            | agent frozen before it sends              | a manifest is accepted and not spread |
            | agent frozen before it sends              | a manifest is spread in part          |

        Examples: caller and entry silent
            | fault                                     | step                                  |
            | caller and entry silent                   | a manifest write is sent              |
            | caller and entry silent                   | a manifest is accepted and not spread |
            | caller and entry silent                   | a manifest is spread in part          |

        Examples: connection of two entries silent
            | fault                                     | step                                  |
            | connection of two entries silent          | a manifest write is sent              |
            | connection of two entries silent          | a manifest is accepted and not spread |
            | connection of two entries silent          | a manifest is spread in part          |

        Examples: entry and entry silent
            | fault                                     | step                                  |
            | entry and entry silent                    | a manifest write is sent              |
            | entry and entry silent                    | a manifest is accepted and not spread |
            | entry and entry silent                    | a manifest is spread in part          |

        Examples: entries cut off from each other
            | fault                                     | step                                  |
            | entries cut off from each other           | a manifest write is sent              |
            | entries cut off from each other           | a manifest is accepted and not spread |
            | entries cut off from each other           | a manifest is spread in part          |

        Examples: entry and agents silent
            | fault                                     | step                                  |
            | entry and agents silent                   | a manifest write is sent              |
            | entry and agents silent                   | a manifest is accepted and not spread |
            | entry and agents silent                   | a manifest is spread in part          |

        Examples: agents cannot reach entry
            | fault                                     | step                                  |
            | agents cannot reach entry                 | a manifest write is sent              |
            | agents cannot reach entry                 | a manifest is accepted and not spread |
            | agents cannot reach entry                 | a manifest is spread in part          |

        Examples: entry cannot reach agents
            | fault                                     | step                                  |
            | entry cannot reach agents                 | a manifest write is sent              |
            | entry cannot reach agents                 | a manifest is accepted and not spread |
            | entry cannot reach agents                 | a manifest is spread in part          |

        Examples: agent and backend server silent
            | fault                                     | step                                  |
            | agent and backend server silent           | a manifest write is sent              |
            | agent and backend server silent           | a manifest is accepted and not spread |
            | agent and backend server silent           | a manifest is spread in part          |

        Examples: platform down
            | fault                                     | step                                  |
            | platform down                             | a manifest write is sent              |
            | platform down                             | a manifest is accepted and not spread |
            | platform down                             | a manifest is spread in part          |

        Examples: platform slow
            | fault                                     | step                                  |
            | platform slow                             | a manifest write is sent              |
            | platform slow                             | a manifest is accepted and not spread |
            | platform slow                             | a manifest is spread in part          |

        Examples: platform answers lost
            | fault                                     | step                                  |
            | platform answers lost                     | a manifest write is sent              |
            | platform answers lost                     | a manifest is accepted and not spread |
            | platform answers lost                     | a manifest is spread in part          |

        Examples: two operators at once
            | fault                                     | step                                  |
            | two operators at once                     | a manifest write is sent              |
            | two operators at once                     | a manifest is accepted and not spread |
            | two operators at once                     | a manifest is spread in part          |

        Examples: same submission at two entries
            | fault                                     | step                                  |
            | same submission at two entries            | a manifest write is sent              |
            | same submission at two entries            | a manifest is accepted and not spread |
            | same submission at two entries            | a manifest is spread in part          |

        Examples: late messages
            | fault                                     | step                                  |
            | late messages                             | a manifest write is sent              |
            | late messages                             | a manifest is accepted and not spread |
            | late messages                             | a manifest is spread in part          |

        Examples: doubled messages
            | fault                                     | step                                  |
            | doubled messages                          | a manifest write is sent              |
            | doubled messages                          | a manifest is accepted and not spread |
            | doubled messages                          | a manifest is spread in part          |

        Examples: reordered messages
            | fault                                     | step                                  |
            | reordered messages                        | a manifest write is sent              |
            | reordered messages                        | a manifest is accepted and not spread |
            | reordered messages                        | a manifest is spread in part          |

        Examples: doubled and very late messages
            | fault                                     | step                                  |
            | doubled and very late messages            | a manifest write is sent              |
            | doubled and very late messages            | a manifest is accepted and not spread |
            | doubled and very late messages            | a manifest is spread in part          |

        Examples: half of the messages lost
            | fault                                     | step                                  |
            | half of the messages lost                 | a manifest write is sent              |
            | half of the messages lost                 | a manifest is accepted and not spread |
            | half of the messages lost                 | a manifest is spread in part          |

        Examples: cancellation wave
            | fault                                     | step                                  |
            | cancellation wave                         | a manifest write is sent              |
            | cancellation wave                         | a manifest is accepted and not spread |
            | cancellation wave                         | a manifest is spread in part          |

        Examples: burst
            | fault                                     | step                                  |
            | burst                                     | a manifest write is sent              |
            | burst                                     | a manifest is accepted and not spread |
            | burst                                     | a manifest is spread in part          |

        Examples: backend server fails everything
            | fault                                     | step                                  |
            | backend server fails everything           | a manifest write is sent              |
            | backend server fails everything           | a manifest is accepted and not spread |
            | backend server fails everything           | a manifest is spread in part          |

        Examples: stragglers
            | fault                                     | step                                  |
            | stragglers                                | a manifest write is sent              |
            | stragglers                                | a manifest is accepted and not spread |
            | stragglers                                | a manifest is spread in part          |

        Examples: declared times far off
            | fault                                     | step                                  |
            | declared times far off                    | a manifest write is sent              |
            | declared times far off                    | a manifest is accepted and not spread |
            | declared times far off                    | a manifest is spread in part          |

        Examples: jobs that can never run
            | fault                                     | step                                  |
            | jobs that can never run                   | a manifest write is sent              |
            | jobs that can never run                   | a manifest is accepted and not spread |
            | jobs that can never run                   | a manifest is spread in part          |

        Examples: agent registers during a sweep
            | fault                                     | step                                  |
            | agent registers during a sweep            | a manifest write is sent              |
            | agent registers during a sweep            | a manifest is accepted and not spread |
            | agent registers during a sweep            | a manifest is spread in part          |

        Examples: agent registers while the entry is paused
            | fault                                     | step                                  |
            | agent registers while the entry is paused | a manifest write is sent              |
            | agent registers while the entry is paused | a manifest is accepted and not spread |
            | agent registers while the entry is paused | a manifest is spread in part          |

        Examples: backend server leaves
            | fault                                     | step                                  |
            | backend server leaves                     | a manifest write is sent              |
            | backend server leaves                     | a manifest is accepted and not spread |
            | backend server leaves                     | a manifest is spread in part          |

        Examples: planned stop of the agent
            | fault                                     | step                                  |
            | planned stop of the agent                 | a manifest write is sent              |
            | planned stop of the agent                 | a manifest is accepted and not spread |
            | planned stop of the agent                 | a manifest is spread in part          |

        Examples: planned stop of the entry
            | fault                                     | step                                  |
            | planned stop of the entry                 | a manifest write is sent              |
            | planned stop of the entry                 | a manifest is accepted and not spread |
            | planned stop of the entry                 | a manifest is spread in part          |
