/**
 * `lovagepitch explain`: the story of one job, from the logs of all processes.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";

/** A log line that has to do with the job. */
interface StoryLine {
    readonly time: string;
    readonly process: string;
    readonly event: string;
    readonly details: string;
}

/** Fields that stand at the head of each printed line, or are the same on all. */
const headFields: ReadonlySet<string> = new Set(["time", "level", "process", "event", "job"]);

/**
 * Prints what the logs say about a job, in order of time.
 *
 * @param environment - reads files and writes lines
 * @param id - id of the job
 * @param files - log files; `-` reads standard input
 * @returns nothing, or a failure when a file cannot be read or no line names the job
 */
export async function explainJob(
    environment: CommandEnvironment,
    id: string,
    files: readonly string[],
): Promise<Result<void, CommandFailure>> {
    const story: StoryLine[] = [];
    for (const file of files) {
        const text = await environment.readText(file);
        if (text.err) {
            return Err(text.val);
        }
        story.push(...selectStory(text.val, id));
    }
    if (story.length === 0) {
        const message = `no log line names job ${id}; pass the logs of every entry and agent, and see whether lines `
            + "were left out (event \"log lines were left out\")";
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    story.sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0);
    for (const line of story) {
        environment.writeLine(`${line.time} ${line.process}: ${line.event} ${line.details}`.trimEnd());
    }
    return Ok(undefined);
}

/**
 * Selects the lines of one job.
 *
 * @param text - a log; text before the first brace of a line is skipped, and lines that are not JSON are left out
 * @param id - id of the job
 * @returns the job's lines
 */
function selectStory(text: string, id: string): readonly StoryLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        const fields = start >= 0 && line.includes(id) ? parseFields(line.slice(start)) : undefined;
        if (fields === undefined || fields["job"] !== id) {
            return [];
        }
        const details = Object.entries(fields)
            .filter(([name]) => !headFields.has(name))
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        return [{
            time: String(fields["time"]),
            process: String(fields["process"]),
            event: String(fields["event"]),
            details: details.join(" "),
        }];
    });
}

function parseFields(text: string): Readonly<Record<string, unknown>> | undefined {
    try {
        return JSON.parse(text) as Readonly<Record<string, unknown>>;
    }
    catch {
        // Logs may hold lines of other programs.
        return undefined;
    }
}
