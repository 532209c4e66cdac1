Feature: Fault matrix, every fault at every step of a request

    Scenario Outline: <fault> while <step>
        When "<fault>" strikes while "<step>"
        Then every caller of the matrix has its final answer and no rule is broken

        Examples: entry killed
            | fault                                     | step                                             |
            | entry killed                              | the id is issued                                 |
            | entry killed                              | the job is received and nothing recorded         |
            | entry killed                              | the key claim is sent                            |
            | entry killed                              | the tasks wait                                   |
            | entry killed                              | a start is sent and not answered                 |
            | entry killed                              | the tasks run                                    |
            | entry killed                              | the outcomes are at the agents and not delivered |
            | entry killed                              | the outcomes are delivered and no answer written |
            | entry killed                              | the answer is written and not read               |
            | entry killed                              | the job is being cancelled                       |
            | entry killed                              | the deadline passes                              |

        Examples: agent killed
            | fault                                     | step                                             |
            | agent killed                              | the id is issued                                 |
            | agent killed                              | the job is received and nothing recorded         |
            | agent killed                              | the key claim is sent                            |
            | agent killed                              | the tasks wait                                   |
            | agent killed                              | a start is sent and not answered                 |
            | agent killed                              | the tasks run                                    |
            | agent killed                              | the outcomes are at the agents and not delivered |
            | agent killed                              | the outcomes are delivered and no answer written |
            | agent killed                              | the answer is written and not read               |
            | agent killed                              | the job is being cancelled                       |
            | agent killed                              | the deadline passes                              |

        Examples: backend server killed
            | fault                                     | step                                             |
            | backend server killed                     | the id is issued                                 |
            | backend server killed                     | the job is received and nothing recorded         |
            | backend server killed                     | the key claim is sent                            |
            | backend server killed                     | the tasks wait                                   |
            | backend server killed                     | a start is sent and not answered                 |
            | backend server killed                     | the tasks run                                    |
            | backend server killed                     | the outcomes are at the agents and not delivered |
            | backend server killed                     | the outcomes are delivered and no answer written |
            | backend server killed                     | the answer is written and not read               |
            | backend server killed                     | the job is being cancelled                       |
            | backend server killed                     | the deadline passes                              |

        Examples: rack lost
            | fault                                     | step                                             |
            | rack lost                                 | the id is issued                                 |
            | rack lost                                 | the job is received and nothing recorded         |
            | rack lost                                 | the key claim is sent                            |
            | rack lost                                 | the tasks wait                                   |
            | rack lost                                 | a start is sent and not answered                 |
            | rack lost                                 | the tasks run                                    |
            | rack lost                                 | the outcomes are at the agents and not delivered |
            | rack lost                                 | the outcomes are delivered and no answer written |
            | rack lost                                 | the answer is written and not read               |
            | rack lost                                 | the job is being cancelled                       |
            | rack lost                                 | the deadline passes                              |

        Examples: entry frozen and resumed
            | fault                                     | step                                             |
            | entry frozen and resumed                  | the id is issued                                 |
            | entry frozen and resumed                  | the job is received and nothing recorded         |
            | entry frozen and resumed                  | the key claim is sent                            |
            | entry frozen and resumed                  | the tasks wait                                   |
            | entry frozen and resumed                  | a start is sent and not answered                 |
            | entry frozen and resumed                  | the tasks run                                    |
            | entry frozen and resumed                  | the outcomes are at the agents and not delivered |
            | entry frozen and resumed                  | the outcomes are delivered and no answer written |
            | entry frozen and resumed                  | the answer is written and not read               |
            | entry frozen and resumed                  | the job is being cancelled                       |
            | entry frozen and resumed                  | the deadline passes                              |

        Examples: entry frozen before it sends
            | fault                                     | step                                             |
            | entry frozen before it sends              | the id is issued                                 |
            | entry frozen before it sends              | the job is received and nothing recorded         |
            | entry frozen before it sends              | the key claim is sent                            |
            | entry frozen before it sends              | the tasks wait                                   |
            | entry frozen before it sends              | a start is sent and not answered                 |
            | entry frozen before it sends              | the tasks run                                    |
            | entry frozen before it sends              | the outcomes are at the agents and not delivered |
            | entry frozen before it sends              | the outcomes are delivered and no answer written |
            | entry frozen before it sends              | the answer is written and not read               |
            | entry frozen before it sends              | the job is being cancelled                       |
            | entry frozen before it sends              | the deadline passes                              |

        Examples: agent frozen and resumed
            | fault                                     | step                                             |
            | agent frozen and resumed                  | the id is issued                                 |
            | agent frozen and resumed                  | the job is received and nothing recorded         |
            | agent frozen and resumed                  | the key claim is sent                            |
            | agent frozen and resumed                  | the tasks wait                                   |
            | agent frozen and resumed                  | a start is sent and not answered                 |
            | agent frozen and resumed                  | the tasks run                                    |
            | agent frozen and resumed                  | the outcomes are at the agents and not delivered |
            | agent frozen and resumed                  | the outcomes are delivered and no answer written |
            | agent frozen and resumed                  | the answer is written and not read               |
            | agent frozen and resumed                  | the job is being cancelled                       |
            | agent frozen and resumed                  | the deadline passes                              |

        Examples: agent frozen before it sends
            | fault                                     | step                                             |
            | agent frozen before it sends              | the id is issued                                 |
            | agent frozen before it sends              | the job is received and nothing recorded         |
            | agent frozen before it sends              | the key claim is sent                            |
            | agent frozen before it sends              | the tasks wait                                   |
            | agent frozen before it sends              | a start is sent and not answered                 |
            | agent frozen before it sends              | the tasks run                                    |
            | agent frozen before it sends              | the outcomes are at the agents and not delivered |
            | agent frozen before it sends              | the outcomes are delivered and no answer written |
            | agent frozen before it sends              | the answer is written and not read               |
            | agent frozen before it sends              | the job is being cancelled                       |
            | agent frozen before it sends              | the deadline passes                              |

        Examples: caller and entry silent
            | fault                                     | step                                             |
            | caller and entry silent                   | the id is issued                                 |
            | caller and entry silent                   | the job is received and nothing recorded         |
            | caller and entry silent                   | the key claim is sent                            |
            | caller and entry silent                   | the tasks wait                                   |
            | caller and entry silent                   | a start is sent and not answered                 |
            | caller and entry silent                   | the tasks run                                    |
            | caller and entry silent                   | the outcomes are at the agents and not delivered |
            | caller and entry silent                   | the outcomes are delivered and no answer written |
            | caller and entry silent                   | the answer is written and not read               |
            | caller and entry silent                   | the job is being cancelled                       |
            | caller and entry silent                   | the deadline passes                              |

        Examples: connection of two entries silent
            | fault                                     | step                                             |
            | connection of two entries silent          | the id is issued                                 |
            | connection of two entries silent          | the job is received and nothing recorded         |
            | connection of two entries silent          | the key claim is sent                            |
            | connection of two entries silent          | the tasks wait                                   |
            | connection of two entries silent          | a start is sent and not answered                 |
            | connection of two entries silent          | the tasks run                                    |
            | connection of two entries silent          | the outcomes are at the agents and not delivered |
            | connection of two entries silent          | the outcomes are delivered and no answer written |
            | connection of two entries silent          | the answer is written and not read               |
            | connection of two entries silent          | the job is being cancelled                       |
            | connection of two entries silent          | the deadline passes                              |

        Examples: entry and entry silent
            | fault                                     | step                                             |
            | entry and entry silent                    | the id is issued                                 |
            | entry and entry silent                    | the job is received and nothing recorded         |
            | entry and entry silent                    | the key claim is sent                            |
            | entry and entry silent                    | the tasks wait                                   |
            | entry and entry silent                    | a start is sent and not answered                 |
            | entry and entry silent                    | the tasks run                                    |
            | entry and entry silent                    | the outcomes are at the agents and not delivered |
            | entry and entry silent                    | the outcomes are delivered and no answer written |
            | entry and entry silent                    | the answer is written and not read               |
            | entry and entry silent                    | the job is being cancelled                       |
            | entry and entry silent                    | the deadline passes                              |

        Examples: entries cut off from each other
            | fault                                     | step                                             |
            | entries cut off from each other           | the id is issued                                 |
            | entries cut off from each other           | the job is received and nothing recorded         |
            | entries cut off from each other           | the key claim is sent                            |
            | entries cut off from each other           | the tasks wait                                   |
            | entries cut off from each other           | a start is sent and not answered                 |
            | entries cut off from each other           | the tasks run                                    |
            | entries cut off from each other           | the outcomes are at the agents and not delivered |
            | entries cut off from each other           | the outcomes are delivered and no answer written |
            | entries cut off from each other           | the answer is written and not read               |
            | entries cut off from each other           | the job is being cancelled                       |
            | entries cut off from each other           | the deadline passes                              |

        Examples: entry and agents silent
            | fault                                     | step                                             |
            | entry and agents silent                   | the id is issued                                 |
            | entry and agents silent                   | the job is received and nothing recorded         |
            | entry and agents silent                   | the key claim is sent                            |
            | entry and agents silent                   | the tasks wait                                   |
            | entry and agents silent                   | a start is sent and not answered                 |
            | entry and agents silent                   | the tasks run                                    |
            | entry and agents silent                   | the outcomes are at the agents and not delivered |
            | entry and agents silent                   | the outcomes are delivered and no answer written |
            | entry and agents silent                   | the answer is written and not read               |
            | entry and agents silent                   | the job is being cancelled                       |
            | entry and agents silent                   | the deadline passes                              |

        Examples: agents cannot reach entry
            | fault                                     | step                                             |
            | agents cannot reach entry                 | the id is issued                                 |
            | agents cannot reach entry                 | the job is received and nothing recorded         |
            | agents cannot reach entry                 | the key claim is sent                            |
            | agents cannot reach entry                 | the tasks wait                                   |
            | agents cannot reach entry                 | a start is sent and not answered                 |
            | agents cannot reach entry                 | the tasks run                                    |
            | agents cannot reach entry                 | the outcomes are at the agents and not delivered |
            | agents cannot reach entry                 | the outcomes are delivered and no answer written |
            | agents cannot reach entry                 | the answer is written and not read               |
            | agents cannot reach entry                 | the job is being cancelled                       |
            | agents cannot reach entry                 | the deadline passes                              |

        Examples: entry cannot reach agents
            | fault                                     | step                                             |
            | entry cannot reach agents                 | the id is issued                                 |
            | entry cannot reach agents                 | the job is received and nothing recorded         |
            | entry cannot reach agents                 | the key claim is sent                            |
            | entry cannot reach agents                 | the tasks wait                                   |
            | entry cannot reach agents                 | a start is sent and not answered                 |
            | entry cannot reach agents                 | the tasks run                                    |
            | entry cannot reach agents                 | the outcomes are at the agents and not delivered |
            | entry cannot reach agents                 | the outcomes are delivered and no answer written |
            | entry cannot reach agents                 | the answer is written and not read               |
            | entry cannot reach agents                 | the job is being cancelled                       |
            | entry cannot reach agents                 | the deadline passes                              |

        Examples: agent and backend server silent
            | fault                                     | step                                             |
            | agent and backend server silent           | the id is issued                                 |
            | agent and backend server silent           | the job is received and nothing recorded         |
            | agent and backend server silent           | the key claim is sent                            |
            | agent and backend server silent           | the tasks wait                                   |
            | agent and backend server silent           | a start is sent and not answered                 |
            | agent and backend server silent           | the tasks run                                    |
            | agent and backend server silent           | the outcomes are at the agents and not delivered |
            | agent and backend server silent           | the outcomes are delivered and no answer written |
            | agent and backend server silent           | the answer is written and not read               |
            | agent and backend server silent           | the job is being cancelled                       |
            | agent and backend server silent           | the deadline passes                              |

        Examples: platform down
            | fault                                     | step                                             |
            | platform down                             | the id is issued                                 |
            | platform down                             | the job is received and nothing recorded         |
            | platform down                             | the key claim is sent                            |
            | platform down                             | the tasks wait                                   |
            | platform down                             | a start is sent and not answered                 |
            | platform down                             | the tasks run                                    |
            | platform down                             | the outcomes are at the agents and not delivered |
            | platform down                             | the outcomes are delivered and no answer written |
            | platform down                             | the answer is written and not read               |
            | platform down                             | the job is being cancelled                       |
            | platform down                             | the deadline passes                              |

        Examples: platform slow
            | fault                                     | step                                             |
            | platform slow                             | the id is issued                                 |
            | platform slow                             | the job is received and nothing recorded         |
            | platform slow                             | the key claim is sent                            |
            | platform slow                             | the tasks wait                                   |
            | platform slow                             | a start is sent and not answered                 |
            | platform slow                             | the tasks run                                    |
            | platform slow                             | the outcomes are at the agents and not delivered |
            | platform slow                             | the outcomes are delivered and no answer written |
            | platform slow                             | the answer is written and not read               |
            | platform slow                             | the job is being cancelled                       |
            | platform slow                             | the deadline passes                              |

        Examples: platform answers lost
            | fault                                     | step                                             |
            | platform answers lost                     | the id is issued                                 |
            | platform answers lost                     | the job is received and nothing recorded         |
            | platform answers lost                     | the key claim is sent                            |
            | platform answers lost                     | the tasks wait                                   |
            | platform answers lost                     | a start is sent and not answered                 |
            | platform answers lost                     | the tasks run                                    |
            | platform answers lost                     | the outcomes are at the agents and not delivered |
            | platform answers lost                     | the outcomes are delivered and no answer written |
            | platform answers lost                     | the answer is written and not read               |
            | platform answers lost                     | the job is being cancelled                       |
            | platform answers lost                     | the deadline passes                              |

        Examples: two operators at once
            | fault                                     | step                                             |
            | two operators at once                     | the id is issued                                 |
            | two operators at once                     | the job is received and nothing recorded         |
            | two operators at once                     | the key claim is sent                            |
            | two operators at once                     | the tasks wait                                   |
            | two operators at once                     | a start is sent and not answered                 |
            | two operators at once                     | the tasks run                                    |
            | two operators at once                     | the outcomes are at the agents and not delivered |
            | two operators at once                     | the outcomes are delivered and no answer written |
            | two operators at once                     | the answer is written and not read               |
            | two operators at once                     | the job is being cancelled                       |
            | two operators at once                     | the deadline passes                              |

        Examples: same submission at two entries
            | fault                                     | step                                             |
            | same submission at two entries            | the id is issued                                 |
            | same submission at two entries            | the job is received and nothing recorded         |
            | same submission at two entries            | the key claim is sent                            |
            | same submission at two entries            | the tasks wait                                   |
            | same submission at two entries            | a start is sent and not answered                 |
            | same submission at two entries            | the tasks run                                    |
            | same submission at two entries            | the outcomes are at the agents and not delivered |
            | same submission at two entries            | the outcomes are delivered and no answer written |
            | same submission at two entries            | the answer is written and not read               |
            | same submission at two entries            | the job is being cancelled                       |
            | same submission at two entries            | the deadline passes                              |

        Examples: late messages
            | fault                                     | step                                             |
            | late messages                             | the id is issued                                 |
            | late messages                             | the job is received and nothing recorded         |
            | late messages                             | the key claim is sent                            |
            | late messages                             | the tasks wait                                   |
            | late messages                             | a start is sent and not answered                 |
            | late messages                             | the tasks run                                    |
            | late messages                             | the outcomes are at the agents and not delivered |
            | late messages                             | the outcomes are delivered and no answer written |
            | late messages                             | the answer is written and not read               |
            | late messages                             | the job is being cancelled                       |
            | late messages                             | the deadline passes                              |

        Examples: doubled messages
            | fault                                     | step                                             |
            | doubled messages                          | the id is issued                                 |
            | doubled messages                          | the job is received and nothing recorded         |
            | doubled messages                          | the key claim is sent                            |
            | doubled messages                          | the tasks wait                                   |
            | doubled messages                          | a start is sent and not answered                 |
            | doubled messages                          | the tasks run                                    |
            | doubled messages                          | the outcomes are at the agents and not delivered |
            | doubled messages                          | the outcomes are delivered and no answer written |
            | doubled messages                          | the answer is written and not read               |
            | doubled messages                          | the job is being cancelled                       |
            | doubled messages                          | the deadline passes                              |

        Examples: reordered messages
            | fault                                     | step                                             |
            | reordered messages                        | the id is issued                                 |
            | reordered messages                        | the job is received and nothing recorded         |
            | reordered messages                        | the key claim is sent                            |
            | reordered messages                        | the tasks wait                                   |
            | reordered messages                        | a start is sent and not answered                 |
            | reordered messages                        | the tasks run                                    |
            | reordered messages                        | the outcomes are at the agents and not delivered |
            | reordered messages                        | the outcomes are delivered and no answer written |
            | reordered messages                        | the answer is written and not read               |
            | reordered messages                        | the job is being cancelled                       |
            | reordered messages                        | the deadline passes                              |

        Examples: doubled and very late messages
            | fault                                     | step                                             |
            | doubled and very late messages            | the id is issued                                 |
            | doubled and very late messages            | the job is received and nothing recorded         |
            | doubled and very late messages            | the key claim is sent                            |
            | doubled and very late messages            | the tasks wait                                   |
            | doubled and very late messages            | a start is sent and not answered                 |
            | doubled and very late messages            | the tasks run                                    |
            | doubled and very late messages            | the outcomes are at the agents and not delivered |
            | doubled and very late messages            | the outcomes are delivered and no answer written |
            | doubled and very late messages            | the answer is written and not read               |
            | doubled and very late messages            | the job is being cancelled                       |
            | doubled and very late messages            | the deadline passes                              |

        Examples: half of the messages lost
            | fault                                     | step                                             |
            | half of the messages lost                 | the id is issued                                 |
            | half of the messages lost                 | the job is received and nothing recorded         |
            | half of the messages lost                 | the key claim is sent                            |
            | half of the messages lost                 | the tasks wait                                   |
            | half of the messages lost                 | a start is sent and not answered                 |
            | half of the messages lost                 | the tasks run                                    |
            | half of the messages lost                 | the outcomes are at the agents and not delivered |
            | half of the messages lost                 | the outcomes are delivered and no answer written |
            | half of the messages lost                 | the answer is written and not read               |
            | half of the messages lost                 | the job is being cancelled                       |
            | half of the messages lost                 | the deadline passes                              |

        Examples: cancellation wave
            | fault                                     | step                                             |
            | cancellation wave                         | the id is issued                                 |
            | cancellation wave                         | the job is received and nothing recorded         |
            | cancellation wave                         | the key claim is sent                            |
            | cancellation wave                         | the tasks wait                                   |
            | cancellation wave                         | a start is sent and not answered                 |
            | cancellation wave                         | the tasks run                                    |
            | cancellation wave                         | the outcomes are at the agents and not delivered |
            | cancellation wave                         | the outcomes are delivered and no answer written |
            | cancellation wave                         | the answer is written and not read               |
            | cancellation wave                         | the job is being cancelled                       |
            | cancellation wave                         | the deadline passes                              |

        Examples: burst
            | fault                                     | step                                             |
            | burst                                     | the id is issued                                 |
            | burst                                     | the job is received and nothing recorded         |
            | burst                                     | the key claim is sent                            |
            | burst                                     | the tasks wait                                   |
            | burst                                     | a start is sent and not answered                 |
            | burst                                     | the tasks run                                    |
            | burst                                     | the outcomes are at the agents and not delivered |
            | burst                                     | the outcomes are delivered and no answer written |
            | burst                                     | the answer is written and not read               |
            | burst                                     | the job is being cancelled                       |
            | burst                                     | the deadline passes                              |

        Examples: backend server fails everything
            | fault                                     | step                                             |
            | backend server fails everything           | the id is issued                                 |
            | backend server fails everything           | the job is received and nothing recorded         |
            | backend server fails everything           | the key claim is sent                            |
            | backend server fails everything           | the tasks wait                                   |
            | backend server fails everything           | a start is sent and not answered                 |
            | backend server fails everything           | the tasks run                                    |
            | backend server fails everything           | the outcomes are at the agents and not delivered |
            | backend server fails everything           | the outcomes are delivered and no answer written |
            | backend server fails everything           | the answer is written and not read               |
            | backend server fails everything           | the job is being cancelled                       |
            | backend server fails everything           | the deadline passes                              |

        Examples: stragglers
            | fault                                     | step                                             |
            | stragglers                                | the id is issued                                 |
            | stragglers                                | the job is received and nothing recorded         |
            | stragglers                                | the key claim is sent                            |
            | stragglers                                | the tasks wait                                   |
            | stragglers                                | a start is sent and not answered                 |
            | stragglers                                | the tasks run                                    |
            | stragglers                                | the outcomes are at the agents and not delivered |
            | stragglers                                | the outcomes are delivered and no answer written |
            | stragglers                                | the answer is written and not read               |
            | stragglers                                | the job is being cancelled                       |
            | stragglers                                | the deadline passes                              |

        Examples: declared times far off
            | fault                                     | step                                             |
            | declared times far off                    | the id is issued                                 |
            | declared times far off                    | the job is received and nothing recorded         |
            | declared times far off                    | the key claim is sent                            |
            | declared times far off                    | the tasks wait                                   |
            | declared times far off                    | a start is sent and not answered                 |
            | declared times far off                    | the tasks run                                    |
            | declared times far off                    | the outcomes are at the agents and not delivered |
            | declared times far off                    | the outcomes are delivered and no answer written |
            | declared times far off                    | the answer is written and not read               |
            | declared times far off                    | the job is being cancelled                       |
            | declared times far off                    | the deadline passes                              |

        Examples: jobs that can never run
            | fault                                     | step                                             |
            | jobs that can never run                   | the id is issued                                 |
            | jobs that can never run                   | the job is received and nothing recorded         |
            | jobs that can never run                   | the key claim is sent                            |
            | jobs that can never run                   | the tasks wait                                   |
            | jobs that can never run                   | a start is sent and not answered                 |
            | jobs that can never run                   | the tasks run                                    |
            | jobs that can never run                   | the outcomes are at the agents and not delivered |
            | jobs that can never run                   | the outcomes are delivered and no answer written |
            | jobs that can never run                   | the answer is written and not read               |
            | jobs that can never run                   | the job is being cancelled                       |
            | jobs that can never run                   | the deadline passes                              |

        Examples: agent registers during a sweep
            | fault                                     | step                                             |
            | agent registers during a sweep            | the id is issued                                 |
            | agent registers during a sweep            | the job is received and nothing recorded         |
            | agent registers during a sweep            | the key claim is sent                            |
            | agent registers during a sweep            | the tasks wait                                   |
            | agent registers during a sweep            | a start is sent and not answered                 |
            | agent registers during a sweep            | the tasks run                                    |
            | agent registers during a sweep            | the outcomes are at the agents and not delivered |
            | agent registers during a sweep            | the outcomes are delivered and no answer written |
            | agent registers during a sweep            | the answer is written and not read               |
            | agent registers during a sweep            | the job is being cancelled                       |
            | agent registers during a sweep            | the deadline passes                              |

        Examples: agent registers while the entry is paused
            | fault                                     | step                                             |
            | agent registers while the entry is paused | the id is issued                                 |
            | agent registers while the entry is paused | the job is received and nothing recorded         |
            | agent registers while the entry is paused | the key claim is sent                            |
            | agent registers while the entry is paused | the tasks wait                                   |
            | agent registers while the entry is paused | a start is sent and not answered                 |
            | agent registers while the entry is paused | the tasks run                                    |
            | agent registers while the entry is paused | the outcomes are at the agents and not delivered |
            | agent registers while the entry is paused | the outcomes are delivered and no answer written |
            | agent registers while the entry is paused | the answer is written and not read               |
            | agent registers while the entry is paused | the job is being cancelled                       |
            | agent registers while the entry is paused | the deadline passes                              |

        Examples: backend server leaves
            | fault                                     | step                                             |
            | backend server leaves                     | the id is issued                                 |
            | backend server leaves                     | the job is received and nothing recorded         |
            | backend server leaves                     | the key claim is sent                            |
            | backend server leaves                     | the tasks wait                                   |
            | backend server leaves                     | a start is sent and not answered                 |
            | backend server leaves                     | the tasks run                                    |
            | backend server leaves                     | the outcomes are at the agents and not delivered |
            | backend server leaves                     | the outcomes are delivered and no answer written |
            | backend server leaves                     | the answer is written and not read               |
            | backend server leaves                     | the job is being cancelled                       |
            | backend server leaves                     | the deadline passes                              |

        Examples: planned stop of the agent
            | fault                                     | step                                             |
            | planned stop of the agent                 | the id is issued                                 |
            | planned stop of the agent                 | the job is received and nothing recorded         |
            | planned stop of the agent                 | the key claim is sent                            |
            | planned stop of the agent                 | the tasks wait                                   |
            | planned stop of the agent                 | a start is sent and not answered                 |
            | planned stop of the agent                 | the tasks run                                    |
            | planned stop of the agent                 | the outcomes are at the agents and not delivered |
            | planned stop of the agent                 | the outcomes are delivered and no answer written |
            | planned stop of the agent                 | the answer is written and not read               |
            | planned stop of the agent                 | the job is being cancelled                       |
            | planned stop of the agent                 | the deadline passes                              |

        Examples: planned stop of the entry
            | fault                                     | step                                             |
            | planned stop of the entry                 | the id is issued                                 |
            | planned stop of the entry                 | the job is received and nothing recorded         |
            | planned stop of the entry                 | the key claim is sent                            |
            | planned stop of the entry                 | the tasks wait                                   |
            | planned stop of the entry                 | a start is sent and not answered                 |
            | planned stop of the entry                 | the tasks run                                    |
            | planned stop of the entry                 | the outcomes are at the agents and not delivered |
            | planned stop of the entry                 | the outcomes are delivered and no answer written |
            | planned stop of the entry                 | the answer is written and not read               |
            | planned stop of the entry                 | the job is being cancelled                       |
            | planned stop of the entry                 | the deadline passes                              |
