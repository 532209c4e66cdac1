Feature: Fault matrix, every fault at every step of a request

    Scenario Outline: <fault> while <step>
        When the fault "<fault>" occurs while "<step>"
        Then every caller of the matrix has its final answer and no rule is violated

        Examples: entry killed
            | fault                                     | step                                             |
            | entry killed                              | the id is issued                                 |
            | entry killed                              | the job is received and not recorded             |
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
            | agent killed                              | the job is received and not recorded             |
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
            | backend server killed                     | the job is received and not recorded             |
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
            | rack lost                                 | the job is received and not recorded             |
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
            | entry frozen and resumed                  | the job is received and not recorded             |
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
            | entry frozen before it sends              | the job is received and not recorded             |
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
            | agent frozen and resumed                  | the job is received and not recorded             |
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
            | agent frozen before it sends              | the job is received and not recorded             |
            | agent frozen before it sends              | the key claim is sent                            |
            | agent frozen before it sends              | the tasks wait                                   |
            | agent frozen before it sends              | a start is sent and not answered                 |
            | agent frozen before it sends              | the tasks run                                    |
            | agent frozen before it sends              | the outcomes are at the agents and not delivered |
            | agent frozen before it sends              | the outcomes are delivered and no answer written |
            | agent frozen before it sends              | the answer is written and not read               |
            | agent frozen before it sends              | the job is being cancelled                       |
            | agent frozen before it sends              | the deadline passes                              |

        Examples: caller and entry partitioned
            | fault                                     | step                                             |
            | caller and entry partitioned              | the id is issued                                 |
            | caller and entry partitioned              | the job is received and not recorded             |
            | caller and entry partitioned              | the key claim is sent                            |
            | caller and entry partitioned              | the tasks wait                                   |
            | caller and entry partitioned              | a start is sent and not answered                 |
            | caller and entry partitioned              | the tasks run                                    |
            | caller and entry partitioned              | the outcomes are at the agents and not delivered |
            | caller and entry partitioned              | the outcomes are delivered and no answer written |
            | caller and entry partitioned              | the answer is written and not read               |
            | caller and entry partitioned              | the job is being cancelled                       |
            | caller and entry partitioned              | the deadline passes                              |

        Examples: connection between two entries stalled
            | fault                                     | step                                             |
            | connection between two entries stalled    | the id is issued                                 |
            | connection between two entries stalled    | the job is received and not recorded             |
            | connection between two entries stalled    | the key claim is sent                            |
            | connection between two entries stalled    | the tasks wait                                   |
            | connection between two entries stalled    | a start is sent and not answered                 |
            | connection between two entries stalled    | the tasks run                                    |
            | connection between two entries stalled    | the outcomes are at the agents and not delivered |
            | connection between two entries stalled    | the outcomes are delivered and no answer written |
            | connection between two entries stalled    | the answer is written and not read               |
            | connection between two entries stalled    | the job is being cancelled                       |
            | connection between two entries stalled    | the deadline passes                              |

        Examples: entries partitioned briefly
            | fault                                     | step                                             |
            | entries partitioned briefly               | the id is issued                                 |
            | entries partitioned briefly               | the job is received and not recorded             |
            | entries partitioned briefly               | the key claim is sent                            |
            | entries partitioned briefly               | the tasks wait                                   |
            | entries partitioned briefly               | a start is sent and not answered                 |
            | entries partitioned briefly               | the tasks run                                    |
            | entries partitioned briefly               | the outcomes are at the agents and not delivered |
            | entries partitioned briefly               | the outcomes are delivered and no answer written |
            | entries partitioned briefly               | the answer is written and not read               |
            | entries partitioned briefly               | the job is being cancelled                       |
            | entries partitioned briefly               | the deadline passes                              |

        Examples: entries partitioned
            | fault                                     | step                                             |
            | entries partitioned                       | the id is issued                                 |
            | entries partitioned                       | the job is received and not recorded             |
            | entries partitioned                       | the key claim is sent                            |
            | entries partitioned                       | the tasks wait                                   |
            | entries partitioned                       | a start is sent and not answered                 |
            | entries partitioned                       | the tasks run                                    |
            | entries partitioned                       | the outcomes are at the agents and not delivered |
            | entries partitioned                       | the outcomes are delivered and no answer written |
            | entries partitioned                       | the answer is written and not read               |
            | entries partitioned                       | the job is being cancelled                       |
            | entries partitioned                       | the deadline passes                              |

        Examples: entry and agents partitioned
            | fault                                     | step                                             |
            | entry and agents partitioned              | the id is issued                                 |
            | entry and agents partitioned              | the job is received and not recorded             |
            | entry and agents partitioned              | the key claim is sent                            |
            | entry and agents partitioned              | the tasks wait                                   |
            | entry and agents partitioned              | a start is sent and not answered                 |
            | entry and agents partitioned              | the tasks run                                    |
            | entry and agents partitioned              | the outcomes are at the agents and not delivered |
            | entry and agents partitioned              | the outcomes are delivered and no answer written |
            | entry and agents partitioned              | the answer is written and not read               |
            | entry and agents partitioned              | the job is being cancelled                       |
            | entry and agents partitioned              | the deadline passes                              |

        Examples: agents cannot reach entry
            | fault                                     | step                                             |
            | agents cannot reach entry                 | the id is issued                                 |
            | agents cannot reach entry                 | the job is received and not recorded             |
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
            | entry cannot reach agents                 | the job is received and not recorded             |
            | entry cannot reach agents                 | the key claim is sent                            |
            | entry cannot reach agents                 | the tasks wait                                   |
            | entry cannot reach agents                 | a start is sent and not answered                 |
            | entry cannot reach agents                 | the tasks run                                    |
            | entry cannot reach agents                 | the outcomes are at the agents and not delivered |
            | entry cannot reach agents                 | the outcomes are delivered and no answer written |
            | entry cannot reach agents                 | the answer is written and not read               |
            | entry cannot reach agents                 | the job is being cancelled                       |
            | entry cannot reach agents                 | the deadline passes                              |

        Examples: agent and backend server partitioned
            | fault                                     | step                                             |
            | agent and backend server partitioned      | the id is issued                                 |
            | agent and backend server partitioned      | the job is received and not recorded             |
            | agent and backend server partitioned      | the key claim is sent                            |
            | agent and backend server partitioned      | the tasks wait                                   |
            | agent and backend server partitioned      | a start is sent and not answered                 |
            | agent and backend server partitioned      | the tasks run                                    |
            | agent and backend server partitioned      | the outcomes are at the agents and not delivered |
            | agent and backend server partitioned      | the outcomes are delivered and no answer written |
            | agent and backend server partitioned      | the answer is written and not read               |
            | agent and backend server partitioned      | the job is being cancelled                       |
            | agent and backend server partitioned      | the deadline passes                              |

        Examples: platform down
            | fault                                     | step                                             |
            | platform down                             | the id is issued                                 |
            | platform down                             | the job is received and not recorded             |
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
            | platform slow                             | the job is received and not recorded             |
            | platform slow                             | the key claim is sent                            |
            | platform slow                             | the tasks wait                                   |
            | platform slow                             | a start is sent and not answered                 |
            | platform slow                             | the tasks run                                    |
            | platform slow                             | the outcomes are at the agents and not delivered |
            | platform slow                             | the outcomes are delivered and no answer written |
            | platform slow                             | the answer is written and not read               |
            | platform slow                             | the job is being cancelled                       |
            | platform slow                             | the deadline passes                              |

        Examples: platform responses lost
            | fault                                     | step                                             |
            | platform responses lost                   | the id is issued                                 |
            | platform responses lost                   | the job is received and not recorded             |
            | platform responses lost                   | the key claim is sent                            |
            | platform responses lost                   | the tasks wait                                   |
            | platform responses lost                   | a start is sent and not answered                 |
            | platform responses lost                   | the tasks run                                    |
            | platform responses lost                   | the outcomes are at the agents and not delivered |
            | platform responses lost                   | the outcomes are delivered and no answer written |
            | platform responses lost                   | the answer is written and not read               |
            | platform responses lost                   | the job is being cancelled                       |
            | platform responses lost                   | the deadline passes                              |

        Examples: two concurrent operators
            | fault                                     | step                                             |
            | two concurrent operators                  | the id is issued                                 |
            | two concurrent operators                  | the job is received and not recorded             |
            | two concurrent operators                  | the key claim is sent                            |
            | two concurrent operators                  | the tasks wait                                   |
            | two concurrent operators                  | a start is sent and not answered                 |
            | two concurrent operators                  | the tasks run                                    |
            | two concurrent operators                  | the outcomes are at the agents and not delivered |
            | two concurrent operators                  | the outcomes are delivered and no answer written |
            | two concurrent operators                  | the answer is written and not read               |
            | two concurrent operators                  | the job is being cancelled                       |
            | two concurrent operators                  | the deadline passes                              |

        Examples: same submission at two entries
            | fault                                     | step                                             |
            | same submission at two entries            | the id is issued                                 |
            | same submission at two entries            | the job is received and not recorded             |
            | same submission at two entries            | the key claim is sent                            |
            | same submission at two entries            | the tasks wait                                   |
            | same submission at two entries            | a start is sent and not answered                 |
            | same submission at two entries            | the tasks run                                    |
            | same submission at two entries            | the outcomes are at the agents and not delivered |
            | same submission at two entries            | the outcomes are delivered and no answer written |
            | same submission at two entries            | the answer is written and not read               |
            | same submission at two entries            | the job is being cancelled                       |
            | same submission at two entries            | the deadline passes                              |

        Examples: delayed messages
            | fault                                     | step                                             |
            | delayed messages                          | the id is issued                                 |
            | delayed messages                          | the job is received and not recorded             |
            | delayed messages                          | the key claim is sent                            |
            | delayed messages                          | the tasks wait                                   |
            | delayed messages                          | a start is sent and not answered                 |
            | delayed messages                          | the tasks run                                    |
            | delayed messages                          | the outcomes are at the agents and not delivered |
            | delayed messages                          | the outcomes are delivered and no answer written |
            | delayed messages                          | the answer is written and not read               |
            | delayed messages                          | the job is being cancelled                       |
            | delayed messages                          | the deadline passes                              |

        Examples: duplicated messages
            | fault                                     | step                                             |
            | duplicated messages                       | the id is issued                                 |
            | duplicated messages                       | the job is received and not recorded             |
            | duplicated messages                       | the key claim is sent                            |
            | duplicated messages                       | the tasks wait                                   |
            | duplicated messages                       | a start is sent and not answered                 |
            | duplicated messages                       | the tasks run                                    |
            | duplicated messages                       | the outcomes are at the agents and not delivered |
            | duplicated messages                       | the outcomes are delivered and no answer written |
            | duplicated messages                       | the answer is written and not read               |
            | duplicated messages                       | the job is being cancelled                       |
            | duplicated messages                       | the deadline passes                              |

        Examples: reordered messages
            | fault                                     | step                                             |
            | reordered messages                        | the id is issued                                 |
            | reordered messages                        | the job is received and not recorded             |
            | reordered messages                        | the key claim is sent                            |
            | reordered messages                        | the tasks wait                                   |
            | reordered messages                        | a start is sent and not answered                 |
            | reordered messages                        | the tasks run                                    |
            | reordered messages                        | the outcomes are at the agents and not delivered |
            | reordered messages                        | the outcomes are delivered and no answer written |
            | reordered messages                        | the answer is written and not read               |
            | reordered messages                        | the job is being cancelled                       |
            | reordered messages                        | the deadline passes                              |

        Examples: duplicated and long delayed messages
            | fault                                     | step                                             |
            | duplicated and long delayed messages      | the id is issued                                 |
            | duplicated and long delayed messages      | the job is received and not recorded             |
            | duplicated and long delayed messages      | the key claim is sent                            |
            | duplicated and long delayed messages      | the tasks wait                                   |
            | duplicated and long delayed messages      | a start is sent and not answered                 |
            | duplicated and long delayed messages      | the tasks run                                    |
            | duplicated and long delayed messages      | the outcomes are at the agents and not delivered |
            | duplicated and long delayed messages      | the outcomes are delivered and no answer written |
            | duplicated and long delayed messages      | the answer is written and not read               |
            | duplicated and long delayed messages      | the job is being cancelled                       |
            | duplicated and long delayed messages      | the deadline passes                              |

        Examples: half of the messages lost
            | fault                                     | step                                             |
            | half of the messages lost                 | the id is issued                                 |
            | half of the messages lost                 | the job is received and not recorded             |
            | half of the messages lost                 | the key claim is sent                            |
            | half of the messages lost                 | the tasks wait                                   |
            | half of the messages lost                 | a start is sent and not answered                 |
            | half of the messages lost                 | the tasks run                                    |
            | half of the messages lost                 | the outcomes are at the agents and not delivered |
            | half of the messages lost                 | the outcomes are delivered and no answer written |
            | half of the messages lost                 | the answer is written and not read               |
            | half of the messages lost                 | the job is being cancelled                       |
            | half of the messages lost                 | the deadline passes                              |

        Examples: burst of cancellations
            | fault                                     | step                                             |
            | burst of cancellations                    | the id is issued                                 |
            | burst of cancellations                    | the job is received and not recorded             |
            | burst of cancellations                    | the key claim is sent                            |
            | burst of cancellations                    | the tasks wait                                   |
            | burst of cancellations                    | a start is sent and not answered                 |
            | burst of cancellations                    | the tasks run                                    |
            | burst of cancellations                    | the outcomes are at the agents and not delivered |
            | burst of cancellations                    | the outcomes are delivered and no answer written |
            | burst of cancellations                    | the answer is written and not read               |
            | burst of cancellations                    | the job is being cancelled                       |
            | burst of cancellations                    | the deadline passes                              |

        Examples: burst of jobs
            | fault                                     | step                                             |
            | burst of jobs                             | the id is issued                                 |
            | burst of jobs                             | the job is received and not recorded             |
            | burst of jobs                             | the key claim is sent                            |
            | burst of jobs                             | the tasks wait                                   |
            | burst of jobs                             | a start is sent and not answered                 |
            | burst of jobs                             | the tasks run                                    |
            | burst of jobs                             | the outcomes are at the agents and not delivered |
            | burst of jobs                             | the outcomes are delivered and no answer written |
            | burst of jobs                             | the answer is written and not read               |
            | burst of jobs                             | the job is being cancelled                       |
            | burst of jobs                             | the deadline passes                              |

        Examples: backend server fails every task
            | fault                                     | step                                             |
            | backend server fails every task           | the id is issued                                 |
            | backend server fails every task           | the job is received and not recorded             |
            | backend server fails every task           | the key claim is sent                            |
            | backend server fails every task           | the tasks wait                                   |
            | backend server fails every task           | a start is sent and not answered                 |
            | backend server fails every task           | the tasks run                                    |
            | backend server fails every task           | the outcomes are at the agents and not delivered |
            | backend server fails every task           | the outcomes are delivered and no answer written |
            | backend server fails every task           | the answer is written and not read               |
            | backend server fails every task           | the job is being cancelled                       |
            | backend server fails every task           | the deadline passes                              |

        Examples: stragglers
            | fault                                     | step                                             |
            | stragglers                                | the id is issued                                 |
            | stragglers                                | the job is received and not recorded             |
            | stragglers                                | the key claim is sent                            |
            | stragglers                                | the tasks wait                                   |
            | stragglers                                | a start is sent and not answered                 |
            | stragglers                                | the tasks run                                    |
            | stragglers                                | the outcomes are at the agents and not delivered |
            | stragglers                                | the outcomes are delivered and no answer written |
            | stragglers                                | the answer is written and not read               |
            | stragglers                                | the job is being cancelled                       |
            | stragglers                                | the deadline passes                              |

        Examples: wrong expected task times
            | fault                                     | step                                             |
            | wrong expected task times                 | the id is issued                                 |
            | wrong expected task times                 | the job is received and not recorded             |
            | wrong expected task times                 | the key claim is sent                            |
            | wrong expected task times                 | the tasks wait                                   |
            | wrong expected task times                 | a start is sent and not answered                 |
            | wrong expected task times                 | the tasks run                                    |
            | wrong expected task times                 | the outcomes are at the agents and not delivered |
            | wrong expected task times                 | the outcomes are delivered and no answer written |
            | wrong expected task times                 | the answer is written and not read               |
            | wrong expected task times                 | the job is being cancelled                       |
            | wrong expected task times                 | the deadline passes                              |

        Examples: jobs that can never run
            | fault                                     | step                                             |
            | jobs that can never run                   | the id is issued                                 |
            | jobs that can never run                   | the job is received and not recorded             |
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
            | agent registers during a sweep            | the job is received and not recorded             |
            | agent registers during a sweep            | the key claim is sent                            |
            | agent registers during a sweep            | the tasks wait                                   |
            | agent registers during a sweep            | a start is sent and not answered                 |
            | agent registers during a sweep            | the tasks run                                    |
            | agent registers during a sweep            | the outcomes are at the agents and not delivered |
            | agent registers during a sweep            | the outcomes are delivered and no answer written |
            | agent registers during a sweep            | the answer is written and not read               |
            | agent registers during a sweep            | the job is being cancelled                       |
            | agent registers during a sweep            | the deadline passes                              |

        Examples: agent registers while the entry is frozen
            | fault                                     | step                                             |
            | agent registers while the entry is frozen | the id is issued                                 |
            | agent registers while the entry is frozen | the job is received and not recorded             |
            | agent registers while the entry is frozen | the key claim is sent                            |
            | agent registers while the entry is frozen | the tasks wait                                   |
            | agent registers while the entry is frozen | a start is sent and not answered                 |
            | agent registers while the entry is frozen | the tasks run                                    |
            | agent registers while the entry is frozen | the outcomes are at the agents and not delivered |
            | agent registers while the entry is frozen | the outcomes are delivered and no answer written |
            | agent registers while the entry is frozen | the answer is written and not read               |
            | agent registers while the entry is frozen | the job is being cancelled                       |
            | agent registers while the entry is frozen | the deadline passes                              |

        Examples: backend server drains
            | fault                                     | step                                             |
            | backend server drains                     | the id is issued                                 |
            | backend server drains                     | the job is received and not recorded             |
            | backend server drains                     | the key claim is sent                            |
            | backend server drains                     | the tasks wait                                   |
            | backend server drains                     | a start is sent and not answered                 |
            | backend server drains                     | the tasks run                                    |
            | backend server drains                     | the outcomes are at the agents and not delivered |
            | backend server drains                     | the outcomes are delivered and no answer written |
            | backend server drains                     | the answer is written and not read               |
            | backend server drains                     | the job is being cancelled                       |
            | backend server drains                     | the deadline passes                              |

        Examples: graceful shutdown of the agent
            | fault                                     | step                                             |
            | graceful shutdown of the agent            | the id is issued                                 |
            | graceful shutdown of the agent            | the job is received and not recorded             |
            | graceful shutdown of the agent            | the key claim is sent                            |
            | graceful shutdown of the agent            | the tasks wait                                   |
            | graceful shutdown of the agent            | a start is sent and not answered                 |
            | graceful shutdown of the agent            | the tasks run                                    |
            | graceful shutdown of the agent            | the outcomes are at the agents and not delivered |
            | graceful shutdown of the agent            | the outcomes are delivered and no answer written |
            | graceful shutdown of the agent            | the answer is written and not read               |
            | graceful shutdown of the agent            | the job is being cancelled                       |
            | graceful shutdown of the agent            | the deadline passes                              |

        Examples: graceful shutdown of the entry
            | fault                                     | step                                             |
            | graceful shutdown of the entry            | the id is issued                                 |
            | graceful shutdown of the entry            | the job is received and not recorded             |
            | graceful shutdown of the entry            | the key claim is sent                            |
            | graceful shutdown of the entry            | the tasks wait                                   |
            | graceful shutdown of the entry            | a start is sent and not answered                 |
            | graceful shutdown of the entry            | the tasks run                                    |
            | graceful shutdown of the entry            | the outcomes are at the agents and not delivered |
            | graceful shutdown of the entry            | the outcomes are delivered and no answer written |
            | graceful shutdown of the entry            | the answer is written and not read               |
            | graceful shutdown of the entry            | the job is being cancelled                       |
            | graceful shutdown of the entry            | the deadline passes                              |
