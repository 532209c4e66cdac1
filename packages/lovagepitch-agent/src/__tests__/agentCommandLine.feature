Feature: The command line of an agent

    Scenario Outline: The settings file can be passed in two forms
        Then the agent's arguments "<arguments>" name the settings file "agent.jsonc"

        Examples:
            | arguments              |
            | --settings agent.jsonc |
            | --settings=agent.jsonc |

    Scenario: The error for an unreadable settings file names the file and a remedy
        Then running an agent with "no/such/file.jsonc" fails with "no/such/file.jsonc" and "name a settings file"

    Scenario: The error for invalid settings names the file and the setting
        Then running an agent with "package.json" fails with "package.json" and "address"
