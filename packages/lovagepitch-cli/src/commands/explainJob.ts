/**
 * The action of `lovagepitch explain`: the events of one job from the logs of all processes, in order of time.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";

/** A parsed log line that names the job. */
interface JobLogEvent {
    readonly time: string;
    readonly process: string;
    readonly event: string;
    readonly details: string;
}

/** Fields left out of the details: they start each printed line, or are equal on all lines. */
const excludedDetailFields: ReadonlySet<string> = new Set(["time", "level", "process", "event", "job"]);

/**
 * Prints the log lines of a job in order of time.
 *
 * @param environment - access to files and the terminal
 * @param id - id of the job
 * @param files - log files; `-` reads standard input
 * @returns nothing, or a failure when a file cannot be read or no line names the job
 */
export async function explainJob(
    environment: CommandEnvironment,
    id: string,
    files: readonly string[],
): Promise<Result<void, CommandFailure>> {
    const events: JobLogEvent[] = [];
    for (const file of files) {
        const text = await environment.readText(file);
        if (text.err) {
            return Err(text.val);
        }
        events.push(...selectJobEvents(text.val, id));
    }
    if (events.length === 0) {
        const message = `no log line names job ${id}; pass the logs of every entry and agent, and see whether lines `
            + "were left out (event \"log lines were left out\")";
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    events.sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0);
    for (const line of events) {
        environment.writeLine(`${line.time} ${line.process}: ${line.event} ${line.details}`.trimEnd());
    }
    return Ok(undefined);
}

/**
 * Selects and parses the log lines of one job.
 *
 * @param text - content of a log; text before the first brace of a line and lines that are not JSON are skipped
 * @param id - id of the job
 * @returns the job's log lines in the order of the log
 */
function selectJobEvents(text: string, id: string): readonly JobLogEvent[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        const fields = start >= 0 && line.includes(id) ? parseFields(line.slice(start)) : undefined;
        const jobFields = fields === undefined || fields["job"] === id ? fields : selectRuns(fields, id);
        if (fields === undefined || jobFields === undefined) {
            return [];
        }
        const details = Object.entries(jobFields)
            .filter(([name]) => !excludedDetailFields.has(name))
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        return [{
            time: String(fields["time"]),
            process: String(fields["process"]),
            event: String(fields["event"]),
            details: details.join(" "),
        }];
    });
}

/**
 * Selects the runs of a job from a line about a worker, whose runs are lists of job, task, run and age.
 *
 * @param fields - fields of the line
 * @param id - id of the job
 * @returns the fields with only the runs of the job, and the number of the others; undefined when it had none there
 */
function selectRuns(
    fields: Readonly<Record<string, unknown>>,
    id: string,
): Readonly<Record<string, unknown>> | undefined {
    const runs: readonly unknown[] = Array.isArray(fields["runs"]) ? fields["runs"] : [];
    const own = runs.filter(run => Array.isArray(run) && run[0] === id);
    return own.length === 0
        ? undefined
        : {
            ...fields,
            runs: own.map(run => (run as readonly unknown[]).slice(1)),
            otherRuns: runs.length - own.length,
        };
}

function parseFields(text: string): Readonly<Record<string, unknown>> | undefined {
    try {
        return JSON.parse(text) as Readonly<Record<string, unknown>>;
    }
    catch {
        // Logs may contain lines of other programs that are not JSON.
        return undefined;
    }
}
