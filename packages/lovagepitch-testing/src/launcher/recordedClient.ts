/**
 * The client package under observation: its jobs and their results become the record that the checker judges.
 */
import type { JobResult } from "@lovagepitch/client/jobResult";
import { LovagepitchClient } from "@lovagepitch/client/lovagepitchClient";
import type { MessageCounts } from "@lovagepitch/client/messageCounts";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import { AnswerRecord, type RequestEnd } from "../checker/answerRecord.js";

/** A job and what its caller saw. */
export interface RecordedJob {
    readonly job: JobRequest;
    readonly result: JobResult;
    readonly responseMilliseconds: number;
    /** Response beyond the longest task, in milliseconds; undefined for a job that was not completed. */
    readonly overheadMilliseconds: number | undefined;
}

/** Submits jobs through the client package. */
export class RecordedClient {
    /** Every job as the checker reads it. */
    public readonly answers = new AnswerRecord();
    /** Every finished job. */
    public readonly jobs: RecordedJob[] = [];
    private readonly client: LovagepitchClient;
    private nextJob = 1;

    /**
     * @param entries - base addresses of entries
     * @param identity - issued ids or the caller's keys
     * @param attemptTimeoutMilliseconds - time after which a silent attempt is repeated
     */
    public constructor(
        entries: readonly string[],
        identity: "issued-ids" | "caller-keys",
        attemptTimeoutMilliseconds?: number,
    ) {
        const timeout = attemptTimeoutMilliseconds === undefined ? {} : { attemptTimeoutMilliseconds };
        this.client = new LovagepitchClient({ entries, identity, ...timeout });
    }

    /** Messages that the client sent. */
    public get messages(): MessageCounts {
        return this.client.messages;
    }

    /**
     * Makes a job whose outputs prove whose they are.
     *
     * @param fields - team, service, kind and deadline
     * @param taskMilliseconds - how long each task runs
     * @returns the job
     */
    public createJob(
        fields: Pick<JobRequest, "team" | "service" | "kind" | "deadlineMilliseconds">,
        taskMilliseconds: readonly number[],
    ): JobRequest {
        const name = `job-${this.nextJob}`;
        this.nextJob += 1;
        const tasks = taskMilliseconds.map((milliseconds, index) => ({
            payload: { milliseconds, echo: `${name}/${index}` },
            cores: 1,
            memoryMegabytes: 128,
            expectedMilliseconds: milliseconds,
        }));
        return { ...fields, idempotent: false, tasks };
    }

    /**
     * Runs a job and records it.
     *
     * @param job - the job
     * @param key - the caller's key, when it uses keys
     * @returns the result
     */
    public async run(job: JobRequest, key?: string): Promise<JobResult> {
        const sentAtMilliseconds = Date.now();
        const result = await this.client.runJob(job, key === undefined ? {} : { key });
        const atMilliseconds = Date.now();
        const responseMilliseconds = atMilliseconds - sentAtMilliseconds;
        const longest = Math.max(...job.tasks.map(task => task.expectedMilliseconds));
        const overIdealMilliseconds = result.kind === "complete" ? responseMilliseconds - longest : undefined;
        this.jobs.push({ job, result, responseMilliseconds, overheadMilliseconds: overIdealMilliseconds });
        this.answers.recordRequest({
            entry: "client",
            operation: key === undefined ? "submit" : "submitWithKey",
            job,
            key,
            submission: readSubmission(result),
            sentAtMilliseconds,
            end: describeEnd(result, atMilliseconds),
        });
        return result;
    }

    /**
     * Closes the connections.
     *
     * @returns when they are closed
     */
    public async close(): Promise<void> {
        await this.client.close();
    }
}

function readSubmission(result: JobResult): string | undefined {
    if (result.kind === "complete" || result.kind === "failed") {
        return result.answer.submission;
    }
    return result.identity.kind === "issued-id" ? result.identity.submission : undefined;
}

function describeEnd(result: JobResult, atMilliseconds: number): RequestEnd {
    if (result.kind === "complete" || result.kind === "failed") {
        return { kind: "answered", result: { kind: "answer", answer: result.answer }, atMilliseconds };
    }
    const problem = result.problem;
    if (problem === undefined || problem.kind === "unreachable") {
        return { kind: "connection-lost", atMilliseconds };
    }
    const received: SubmissionResult = { kind: "problem", problem: { ...problem, kind: problem.kind } };
    return { kind: "answered", result: received, atMilliseconds };
}
