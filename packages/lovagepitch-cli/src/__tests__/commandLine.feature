Feature: Command line

    Scenario Outline: Invalid arguments exit with code 2 and an error that names them
        When the operator runs "<command>"
        Then the command's exit code is 2
        And the command's error contains "<text>"

        Examples:
            | command                                                                       | text               |
            |                                                                               | Name a command     |
            | frobnicate                                                                    | frobnicate         |
            | manifest                                                                      | action             |
            | manifest apply examples/cooperative/manifest.jsonc --base 0                   | settings           |
            | manifest apply examples/cooperative/manifest.jsonc -s examples/cooperative/operator.jsonc | base   |
            | manifest apply examples/cooperative/manifest.jsonc -s examples/cooperative/operator.jsonc --base=-1 | --base |
            | manifest apply examples/cooperative/manifest.jsonc -s examples/cooperative/operator.jsonc --base=x | --base |
            | manifest diff examples/cooperative/manifest.jsonc                             | --settings FILE    |
            | manifest diff examples/cooperative/manifest.jsonc -s a --against b            | mutually exclusive |
            | manifest show --settings                                                      | settings           |
            | status --frob -s x                                                            | frob               |
            | status                                                                        | --store ADDRESS    |
            | status -s a --store b                                                         | mutually exclusive |
            | entry                                                                         | settings           |

    Scenario Outline: Help shows examples and exit codes
        When the operator runs "<command> --help"
        Then the command's exit code is 0
        And the command's output contains "<text>"

        Examples:
            | command           | text                                    |
            |                   | Exit codes: 0 done                      |
            | entry             | lovagepitch entry --settings            |
            | manifest validate | lovagepitch manifest validate           |
            | manifest diff     | Compare two files                       |
            | manifest apply    | --base 7                                |
            | manifest show     | lovagepitch manifest show               |
            | submit            | lovagepitch submit job.jsonc            |
            | status            | lovagepitch status                      |
            | explain           | lovagepitch explain 5c0e7a21d94b36f8    |
            | report            | lovagepitch report entry-*.log          |

    Scenario: The entry command runs an entry with its settings file
        When the operator runs "entry --settings entry.jsonc"
        Then the command's exit code is 0
        And the entry was run with "entry.jsonc"

    Scenario: A manifest is validated, compared, applied and shown
        When the operator runs "manifest show -s examples/association/operator.jsonc"
        Then the command's exit code is 1
        And the command's error contains "--base 0"
        When the operator runs "manifest validate examples/association/manifest.jsonc"
        Then the command's exit code is 0
        When the operator runs "manifest diff examples/association/manifest.jsonc -s examples/association/operator.jsonc"
        Then the command's output contains "+ kind settlement/netting"
        When the operator runs "manifest apply examples/association/manifest.jsonc -s examples/association/operator.jsonc --base 0"
        Then the command's exit code is 0
        And the command's output contains "accepted as version 1"
        When the operator runs "manifest apply examples/association/manifest.jsonc -s examples/association/operator.jsonc --base 0"
        Then the command's exit code is 0
        And the command's output contains "accepted as version 1"
        When the operator runs "manifest show -s examples/association/operator.jsonc --json"
        Then the command's JSON output has "version" 1
        And the command's JSON output has "appliedBy" "amara"
        When the operator runs "manifest diff examples/association/manifest.jsonc -s examples/association/operator.jsonc"
        Then the command's output contains "0 changes"

    Scenario: Applying a manifest on an outdated base version fails and names the current version's operator
        Given version 1 of the manifest was applied by "bola"
        When the operator runs "manifest apply examples/cooperative/manifest.jsonc -s examples/cooperative/operator.jsonc --base 0"
        Then the command's exit code is 4
        And the command's error contains "Version 1 by bola"

    Scenario: Applying a manifest succeeds when the table loses the response of the write
        Given the table of the command line is "lost-write-answer"
        When the operator runs "manifest apply examples/cooperative/manifest.jsonc -s examples/cooperative/operator.jsonc --base 0"
        Then the command's exit code is 0
        And the command's output contains "accepted as version 1"

    Scenario Outline: Commands exit with code 3 while the table is unavailable
        Given the table of the command line is "down"
        When the operator runs "<command> -s examples/cooperative/operator.jsonc"
        Then the command's exit code is 3

        Examples:
            | command                                                     |
            | manifest show                                               |
            | manifest diff examples/cooperative/manifest.jsonc           |
            | manifest apply examples/cooperative/manifest.jsonc --base 0 |
            | status                                                      |

    Scenario: The error for an invalid file names the file, the line and the remedy
        Given the operator's file "wrong.jsonc" with the line "{ 'a': 1 }"
        When the operator runs "manifest validate wrong.jsonc"
        Then the command's exit code is 1
        And the command's error contains "wrong.jsonc:1:3: the document: syntax error"
        And the command's error contains "write JSON"

    Scenario: The events of a job are collected from several logs
        Given the operator's log "entry.log" of three processes
        When the operator runs "explain 66be930ea9f22e40 entry.log agent.log"
        Then the command's exit code is 0
        And the command's output lists the events of job "66be930ea9f22e40" in order of time

    Scenario: Explaining a job that no log names fails
        Given the operator's log "entry.log" of three processes
        When the operator runs "explain 0000000000000000 entry.log"
        Then the command's exit code is 1
        And the command's error contains "pass the logs of every entry and agent"

    Scenario: Outcomes of jobs are counted by second and route
        Given the operator's log "front.log" of three jobs, with a cut-off line
        When the operator runs "report front.log"
        Then the command's exit code is 0
        And the command's output has a line that matches "^0 +route-a +2 +1 +0 +0 +1 +12.0 +refused: no-room-in-time 1$"
        And the command's output has a line that matches "^0 +worker drains \(1\)$"
        And the command's output has a line that matches "^2 +route-b +1 +0 +1 +0 +0 +700.0$"
        And the command's output has a line that matches "^11 lines read, 2 of them are not log lines$"
        And the command's output has a line that matches "^5 lines were left out by the processes"

    Scenario: A report sums up times to the answer and lost runs by route and by availability zone
        Given the operator's log "front.log" of three jobs, with a cut-off line
        When the operator runs "report front.log"
        Then the command's output has a line that matches "^route-a +1 +300 +300 +1 +120 +120$"
        And the command's output has a line that matches "^route-b +1 +1000 +1000 +0 +0 +0 +stalled 250$"
        When the operator runs "report front.log --by zone"
        Then the command's output has a line that matches "^0 +zone-a +2 +1 +0 +0 +1 +12.0 +refused: no-room-in-time 1$"
        And the command's output has a line that matches "^zone-a +2 +300 +1000 +1 +120 +120 +stalled 250$"

    Scenario: The report is written as JSON
        Given the operator's log "front.log" of three jobs, with a cut-off line
        When the operator runs "report front.log --json"
        Then the command's exit code is 0
        And the command's output is JSON with 2 seconds and 2 unreadable lines

    Scenario: A report without any job fails with a remedy
        Given the operator's log "side.log" of an agent
        When the operator runs "report side.log"
        Then the command's exit code is 1
        And the command's error contains "no job was answered in 2 lines, of which 1 are not log lines"

    Scenario: A report of a missing file fails
        When the operator runs "report missing.log"
        Then the command's exit code is 1
        And the command's error contains "missing.log"

    Scenario: Applying a manifest without an operator's name is refused
        Given the operator's name is not known
        When the operator runs "manifest apply examples/cooperative/manifest.jsonc -s examples/cooperative/operator.jsonc --base 0"
        Then the command's exit code is 2
        And the command's error contains "--applied-by"

    Scenario Outline: The exit code of submit follows from the job's result
        Given the client returns the job result "<result>"
        When the operator runs "submit examples/cooperative/job.jsonc -s examples/cooperative/operator.jsonc <options>"
        Then the command's exit code is <code>
        And one job was submitted with "<identity>"

        Examples:
            | result      | options                    | code | identity    |
            | complete    |                            | 0    | issued-ids  |
            | complete    | --key k1 --time-limit 500  | 0    | caller-keys |
            | failed      |                            | 1    | issued-ids  |
            | refused     |                            | 1    | issued-ids  |
            | unreachable |                            | 3    | issued-ids  |
            | unknown     | --key k1                   | 3    | caller-keys |
            | unknown     | --json                     | 3    | issued-ids  |

    Scenario: An invalid job from standard input is refused with its line
        Given the client returns the job result "complete"
        And the operator's file "-" with the line "{ "team": 7 }"
        When the operator runs "submit -s examples/cooperative/operator.jsonc"
        Then the command's exit code is 1
        And the command's error contains "standard input:1:3: team: wrong type"

    Scenario Outline: The exit code of status follows from the states of the processes
        Given version 1 of the manifest was applied by "bola"
        And an entry at "http://127.0.0.1:8100" that is "<entry>"
        And an entry at "http://127.0.0.1:8101" that is "in force"
        And a registered agent at "127.0.0.1:7110" that is "<agent>"
        When the operator runs "status -s examples/cooperative/operator.jsonc"
        Then the command's exit code is <code>
        When the operator runs "status -s examples/cooperative/operator.jsonc --json"
        Then the command's exit code is <code>
        And the JSON status shows states "<states>"

        Examples:
            | entry     | agent       | code | states                           |
            | in force  | in force    | 0    | in-force, in-force, in-force     |
            | behind    | in force    | 1    | behind, in-force, in-force       |
            | in force  | not ready   | 1    | in-force, in-force, not-ready    |
            | silent    | in force    | 3    | unreachable, in-force, in-force  |
            | in force  | silent      | 3    | in-force, in-force, unreachable  |
            | in force  | gone        | 0    | in-force, in-force               |

    Scenario Outline: The exit code of status --store follows from the entries' versions
        Given the users' store holds configuration version <version> and entries "10.0.0.1:7000" and "10.0.0.2:7000"
        And the metrics at "10.0.0.1:9464" report version <first>
        And the metrics at "10.0.0.2:9464" report version <second>
        When the operator runs "status --store 10.0.0.9:7100 --json"
        Then the command's exit code is <code>
        And the JSON status shows states "<states>"

        Examples:
            | version | first | second | code | states                |
            | 4       | 4     | 4      | 0    | in-force, in-force    |
            | 4       | 3     | 4      | 1    | behind, in-force      |
            | 4       | 4     | 5      | 0    | in-force, in-force    |
            | 4       | 4     | -1     | 3    | in-force, unreachable |

    Scenario Outline: Status fails when the users' store has no readable configuration
        Given the users' store <state>
        When the operator runs "status --store 10.0.0.9:7100"
        Then the command's exit code is <code>
        And the command's error contains "<text>"

        Examples:
            | state                               | code | text                  |
            | is silent                           | 3    | 10.0.0.9:7100         |
            | holds no configuration              | 1    | holds no configuration |
            | holds an unreadable configuration   | 1    | cannot be read        |

    Scenario: The status of a process is read over HTTP
        Given a process that serves GET /status
        Then the command line reads its status
        And reads no status from a process that responds with "not JSON", "[]" or not at all
