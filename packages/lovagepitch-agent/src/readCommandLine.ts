/**
 * Arguments of the agent's command line.
 */

const usageExitCode = 2;

/**
 * Reads the command line. The library that explains and checks it is loaded only when the plain form was not used,
 * for an agent has little memory.
 *
 * @param commandLine - the arguments without program names
 * @returns path of the settings file; help, the version and wrong arguments end the process
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
