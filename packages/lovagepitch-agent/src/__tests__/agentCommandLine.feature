Feature: The command line of an agent

    Scenario Outline: The settings file is named in either form
        Then the agent's arguments "<arguments>" name the settings file "agent.jsonc"

        Examples:
            | arguments              |
            | --settings agent.jsonc |
            | --settings=agent.jsonc |

    Scenario: A settings file that cannot be read is named with a remedy
        Then running an agent with "no/such/file.jsonc" fails with "no/such/file.jsonc" and "name a settings file"

    Scenario: Settings that do not fit are named with their file
        Then running an agent with "package.json" fails with "package.json" and "address"
