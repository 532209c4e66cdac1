/**
 * The action of `lovagepitch submit`.
 */
import type { JobResult } from "@lovagepitch/client/jobResult";
import { loadJob } from "@lovagepitch/configuration/loadJob";
import type { JobAnswer } from "@lovagepitch/types/job";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import { loadFile, loadSettingsFile } from "../loadFile.js";

/** Options of `submit`. */
export interface SubmitOptions {
    readonly settings: string;
    readonly json: boolean;
    /** The caller's idempotency key; the job is submitted under an issued id when absent. */
    readonly key?: string;
    /** Time limit of the submission and its retries, in milliseconds. */
    readonly timeLimit?: number;
}

/**
 * Submits one job and prints its result.
 *
 * @param environment - access to files, the terminal and the entries
 * @param fileName - name of the job file; `-` reads standard input
 * @param options - the command's options
 * @returns nothing when the job is complete, or the failure
 */
export async function submitJob(
    environment: CommandEnvironment,
    fileName: string,
    options: SubmitOptions,
): Promise<Result<void, CommandFailure>> {
    const settings = await loadSettingsFile(environment, options.settings);
    if (settings.err) {
        return settings;
    }
    const job = await loadFile(environment, fileName, loadJob);
    if (job.err) {
        return job;
    }
    const identity = options.key === undefined ? "issued-ids" : "caller-keys";
    const result = await environment.runJob(settings.val, identity, job.val, {
        ...(options.key === undefined ? {} : { key: options.key }),
        ...(options.timeLimit === undefined ? {} : { timeLimitMilliseconds: options.timeLimit }),
    });
    if (options.json) {
        environment.writeLine(JSON.stringify(result));
    }
    else if (result.kind === "complete" || result.kind === "failed") {
        writeAnswer(environment, result.answer);
    }
    return evaluateResult(result);
}

function writeAnswer(environment: CommandEnvironment, answer: JobAnswer): void {
    environment.writeLine(
        `${answer.submission}: ${answer.state}, configuration version ${answer.configurationVersion}`,
    );
    for (const task of answer.tasks) {
        const location = task.worker === undefined ? "" : ` at ${task.worker} in ${task.availabilityZone ?? "?"}`;
        const output = task.output === undefined ? "" : `: ${JSON.stringify(task.output)}`;
        environment.writeLine(`task ${task.index}: ${task.state}${location}${output}`);
    }
}

function evaluateResult(result: JobResult): Result<void, CommandFailure> {
    switch (result.kind) {
        case "complete":
            return Ok(undefined);
        case "failed": {
            const reason = result.answer.reason ?? "a task failed";
            return createFailure(
                exitCodes.refused,
                `The job failed: ${reason}; the states of the tasks show which of them ran`,
            );
        }
        case "refused": {
            const { kind, detail, remedy } = result.problem;
            const exitCode = kind === "unreachable" ? exitCodes.unreachable : exitCodes.refused;
            return createFailure(exitCode, `Not run (${kind}): ${detail.replace(/\.$/, "")}; ${remedy}`);
        }
        case "unknown":
            return createFailure(
                exitCodes.unreachable,
                `The job may have run: ${result.reason}; ${describeRemedy(result)}`,
            );
    }
}

function describeRemedy({ identity }: JobResult): string {
    if (identity.kind === "caller-key") {
        return `submit it again with --key ${identity.key} to get its result`;
    }
    const path = identity.kind === "issued-id" ? identity.submission : "";
    return `GET /v1/submissions/${path} at any entry returns its state`;
}

function createFailure(exitCode: 1 | 3, message: string): Result<never, CommandFailure> {
    return Err(new CommandFailure(exitCode, message));
}
