/**
 * Parses the command line of `lovagepitch` and runs the chosen command.
 */
import type { Result } from "@lovagepitch/utils/result";
import yargs, { type Argv } from "yargs";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { explainJob } from "./commands/explainJob.js";
import { applyManifestFile, diffManifestFile, showManifest, validateManifestFile } from "./commands/manifestActions.js";
import { reportJobs } from "./commands/reportJobs.js";
import { showStatus } from "./commands/showStatus.js";
import { showStoreStatus } from "./commands/showStoreStatus.js";
import { submitJob } from "./commands/submitJob.js";
import { CommandFailure, type ExitCode, exitCodes } from "./exitCode.js";

const helpWidthColumns = 100;
const exitCodeHelp = "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 unreachable, 4 conflict.";

/** Port on which entries and agents serve their metrics on the users' platform. */
const defaultMetricsPort = 9464;

const settingsOption = {
    type: "string",
    alias: "s",
    describe: "File with the operator's settings",
    requiresArg: true,
} as const;

/** Awaits the action of a command, prints its failure and records the exit code. */
type RunAction = (action: Promise<Result<void, CommandFailure>>) => Promise<void>;

/**
 * Runs the command that the arguments name.
 *
 * @param commandArguments - arguments after the program's name
 * @param environment - access to files, the terminal and the network
 * @returns the exit code
 */
export async function runCommandLine(
    commandArguments: readonly string[],
    environment: CommandEnvironment,
): Promise<ExitCode> {
    let exitCode: ExitCode = exitCodes.done;
    const run: RunAction = async action => {
        const result = await action;
        if (result.err) {
            environment.writeErrorLine(result.val.message);
            exitCode = result.val.exitCode;
        }
    };
    const parser = createParser(environment, run);
    try {
        await parser.parseAsync([...commandArguments], {}, (_error, _argv, output) => {
            if (output !== "") {
                environment.writeLine(output);
            }
        });
    }
    catch (error) {
        if (!(error instanceof CommandFailure)) {
            throw error;
        }
        environment.writeErrorLine(error.message);
        exitCode = error.exitCode;
    }
    return exitCode;
}

function createParser(environment: CommandEnvironment, run: RunAction): Argv {
    const parser = yargs()
        .scriptName("lovagepitch")
        .usage("$0 <command>\n\nDispatcher for sub-second tasks.")
        .command(
            "entry",
            "Run an entry instance until SIGTERM",
            command =>
                command
                    .option("settings", {
                        ...settingsOption,
                        describe: "File with the entry's settings",
                        demandOption: true,
                    })
                    .example("$0 entry --settings entry.jsonc", "Run an entry"),
            argv => run(environment.runEntry(argv.settings)),
        )
        .command(
            "manifest",
            "Check, compare, apply or show the manifest",
            command => addManifestCommands(command, environment, run),
        )
        .demandCommand(1, "Name a command; lovagepitch --help lists them")
        .strict()
        .help()
        .version(false)
        .wrap(helpWidthColumns)
        .epilogue(exitCodeHelp)
        .exitProcess(false)
        .fail((message: string | undefined, error: Error | undefined) => {
            throw createUsageFailure(message, error);
        });
    addSubmitCommand(parser, environment, run);
    addStatusCommand(parser, environment, run);
    addExplainCommand(parser, environment, run);
    return addReportCommand(parser, environment, run);
}

function addManifestCommands(parent: Argv, environment: CommandEnvironment, run: RunAction): Argv {
    const json = { type: "boolean", default: false, describe: "Write JSON" } as const;
    const file = { type: "string", demandOption: true, describe: "Manifest file; - reads standard input" } as const;
    return parent
        .command(
            "validate <file>",
            "Check a manifest file",
            command =>
                command.positional("file", file).option("json", json)
                    .example("$0 manifest validate manifest.jsonc", "Check a file in a pipeline"),
            argv => run(validateManifestFile(environment, argv.file, argv)),
        )
        .command(
            "diff <file>",
            "Show what a manifest file would change",
            command =>
                command.positional("file", file).option("json", json)
                    .option("settings", settingsOption)
                    .option("against", { type: "string", describe: "Manifest file to compare with", requiresArg: true })
                    .conflicts("settings", "against")
                    .example("$0 manifest diff new.jsonc -s operator.jsonc", "Compare with the accepted manifest")
                    .example("$0 manifest diff new.jsonc --against old.jsonc", "Compare two files"),
            argv => run(diffManifestFile(environment, argv.file, argv)),
        )
        .command(
            "apply <file>",
            "Apply a manifest; applying the same manifest again is safe",
            command =>
                command.positional("file", file).option("json", json)
                    .option("settings", { ...settingsOption, demandOption: true })
                    .option("base", {
                        type: "number",
                        describe: "Version that the change was made from; 0 for the first manifest",
                        demandOption: true,
                        requiresArg: true,
                    })
                    .option("applied-by", { type: "string", describe: "Name of the operator", requiresArg: true })
                    .example("$0 manifest apply manifest.jsonc -s operator.jsonc --base 7", "Change version 7"),
            argv => run(applyManifestFile(environment, argv.file, argv)),
        )
        .command(
            "show",
            "Show the accepted manifest",
            command =>
                command.option("json", json).option("settings", { ...settingsOption, demandOption: true })
                    .example("$0 manifest show -s operator.jsonc", "Show version and content"),
            argv => run(showManifest(environment, argv)),
        )
        .demandCommand(1, "Name an action: validate, diff, apply or show");
}

function addSubmitCommand(parser: Argv, environment: CommandEnvironment, run: RunAction): Argv {
    return parser.command(
        "submit [file]",
        "Submit a job and wait for its answer",
        command =>
            command
                .positional("file", { type: "string", default: "-", describe: "Job file; - reads standard input" })
                .option("settings", { ...settingsOption, demandOption: true })
                .option("key", { type: "string", describe: "Idempotency key of the job", requiresArg: true })
                .option("time-limit", {
                    type: "number",
                    describe: "Time limit in milliseconds",
                    requiresArg: true,
                })
                .option("json", { type: "boolean", default: false, describe: "Write JSON" })
                .example("$0 submit job.jsonc -s operator.jsonc", "Submit a file under an issued id")
                .example("$0 submit -s operator.jsonc --key dawn-17 < job.json", "Submit under a caller's key"),
        argv => run(submitJob(environment, argv.file, argv)),
    );
}

function addStatusCommand(parser: Argv, environment: CommandEnvironment, run: RunAction): Argv {
    return parser.command(
        "status",
        "Show each process's configuration version, readiness and store health",
        command =>
            command
                .option("settings", settingsOption)
                .option("store", {
                    type: "string",
                    describe: "Host and port of the users' store, for entries of direct jobs",
                    requiresArg: true,
                })
                .option("metrics-port", {
                    type: "number",
                    default: defaultMetricsPort,
                    describe: "Port on which entries serve their metrics, with --store",
                    requiresArg: true,
                })
                .option("json", { type: "boolean", default: false, describe: "Write JSON" })
                .conflicts("settings", "store")
                .example("$0 status -s operator.jsonc --json", "Check a roll-out in a pipeline")
                .example("$0 status --store 10.0.0.5:7100", "Check entries on the users' platform"),
        argv => run(runStatusCommand(environment, argv)),
    );
}

function runStatusCommand(
    environment: CommandEnvironment,
    options: {
        readonly settings: string | undefined;
        readonly store: string | undefined;
        readonly metricsPort: number;
        readonly json: boolean;
    },
): Promise<Result<void, CommandFailure>> {
    const { settings, store } = options;
    if (store !== undefined) {
        return showStoreStatus(environment, { ...options, store });
    }
    if (settings === undefined) {
        throw new CommandFailure(
            exitCodes.usage,
            "Name --settings FILE or --store ADDRESS; lovagepitch status --help shows both",
        );
    }
    return showStatus(environment, { ...options, settings });
}

function addExplainCommand(parser: Argv, environment: CommandEnvironment, run: RunAction): Argv {
    return parser.command(
        "explain <id> [files..]",
        "Print the events of one job from the logs of entries and agents",
        command =>
            command
                .positional("id", { type: "string", demandOption: true, describe: "Id of the job" })
                .positional("files", {
                    type: "string",
                    array: true,
                    default: ["-"],
                    describe: "Logs; - reads standard input",
                })
                .example(
                    "$0 explain 5c0e7a21d94b36f8 entry-*.log agent-*.log",
                    "From the id of a failed job to its cause",
                ),
        argv => run(explainJob(environment, argv.id, argv.files)),
    );
}

function addReportCommand(parser: Argv, environment: CommandEnvironment, run: RunAction): Argv {
    return parser.command(
        "report [files..]",
        "Count the outcomes of direct jobs by second and group, from the logs of entries and agents",
        command =>
            command
                .positional("files", {
                    type: "string",
                    array: true,
                    default: ["-"],
                    describe: "Logs; - reads standard input",
                })
                .option("json", { type: "boolean", default: false, describe: "Write JSON" })
                .option("by", {
                    choices: ["route", "process", "zone"] as const,
                    default: "route" as const,
                    describe: "Group of a row: route of the job, its entry, or the entry's availability zone",
                })
                .example(
                    "$0 report entry-*.log agent-*.log",
                    "See in which seconds jobs were late or refused, and why",
                ),
        argv => run(reportJobs(environment, argv.files, argv)),
    );
}

/** Converts errors of the parser to usage failures; returns all other errors unchanged. */
function createUsageFailure(message: string | undefined, error: Error | undefined): Error {
    if (error !== undefined && error.name !== "YError") {
        return error;
    }
    const text = message ?? error?.message ?? "invalid arguments";
    return new CommandFailure(exitCodes.usage, `${text}; lovagepitch --help shows the usage`);
}
