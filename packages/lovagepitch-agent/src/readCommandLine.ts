/**
 * Parsing of the agent's command line.
 */

const usageExitCode = 2;

/**
 * Parses the command line. The parser library is loaded only when the arguments are not exactly `--settings <file>`,
 * because agents run with little memory.
 *
 * @param commandLine - arguments without the names of the interpreter and the script
 * @returns the path of the settings file; help, version and invalid arguments end the process
 */
export async function readCommandLine(commandLine: readonly string[]): Promise<string> {
    const [option, path] = commandLine;
    if (commandLine.length === 2 && option === "--settings" && path !== undefined && !path.startsWith("-")) {
        return path;
    }
    const { default: yargs } = await import("yargs");
    const parsed = yargs(commandLine)
        .scriptName("lovagepitch-agent")
        .usage("$0 --settings <file>\n\nRuns the agent beside a backend server.")
        .option("settings", {
            type: "string",
            demandOption: true,
            requiresArg: true,
            describe: "Settings file, JSON with comments",
        })
        .example("$0 --settings /etc/lovagepitch/agent.jsonc", "Run until SIGTERM, which begins a planned stop")
        .epilogue("Exit codes: 0 planned stop, 1 failure, 2 wrong arguments.")
        .strict()
        .fail((message, _error, usage) => {
            usage.showHelp();
            process.stderr.write(`\n${message}\n`);
            process.exit(usageExitCode);
        })
        .parseSync();
    return parsed.settings;
}
