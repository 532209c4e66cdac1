/**
 * Client package wrapper that records jobs and results for the checker.
 */
import type { JobResult } from "@lovagepitch/client/jobResult";
import { LovagepitchClient } from "@lovagepitch/client/lovagepitchClient";
import type { MessageCounts } from "@lovagepitch/client/messageCounts";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import { AnswerRecord, type RequestEnd } from "../checker/answerRecord.js";

/** A finished job and its result, as observed by the caller. */
export interface RecordedJob {
    readonly job: JobRequest;
    readonly result: JobResult;
    readonly responseMilliseconds: number;
    /** Response time minus the longest task, in milliseconds; undefined if the job was not completed. */
    readonly overheadMilliseconds: number | undefined;
}

/** Submits jobs through the client package and records their results. */
export class RecordedClient {
    /** Record of all jobs for the checker. */
    public readonly answers = new AnswerRecord();
    /** All finished jobs. */
    public readonly jobs: RecordedJob[] = [];
    private readonly client: LovagepitchClient;
    private nextJob = 1;

    /**
     * @param entries - base URLs of the entries
     * @param identity - whether jobs are submitted under issued ids or under the caller's idempotency keys
     * @param attemptTimeoutMilliseconds - time after which an unanswered attempt is retried, in milliseconds
     */
    public constructor(
        entries: readonly string[],
        identity: "issued-ids" | "caller-keys",
        attemptTimeoutMilliseconds?: number,
    ) {
        const timeout = attemptTimeoutMilliseconds === undefined ? {} : { attemptTimeoutMilliseconds };
        this.client = new LovagepitchClient({ entries, identity, ...timeout });
    }

    /** Counts of the messages that the client sent. */
    public get messages(): MessageCounts {
        return this.client.messages;
    }

    /**
     * Creates a job whose task outputs identify the job and the task.
     *
     * @param fields - team, service, kind and deadline
     * @param taskMilliseconds - duration of each task, in milliseconds
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
     * Runs a job and records its result.
     *
     * @param job - job to submit
     * @param key - idempotency key of the caller; undefined to submit under an issued id
     * @returns result of the job
     */
    public async run(job: JobRequest, key?: string): Promise<JobResult> {
        const sentAtMilliseconds = Date.now();
        const result = await this.client.runJob(job, key === undefined ? {} : { key });
        const atMilliseconds = Date.now();
        const responseMilliseconds = atMilliseconds - sentAtMilliseconds;
        const longest = Math.max(...job.tasks.map(task => task.expectedMilliseconds));
        const overheadMilliseconds = result.kind === "complete" ? responseMilliseconds - longest : undefined;
        this.jobs.push({ job, result, responseMilliseconds, overheadMilliseconds });
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
     * Closes the connections of the client.
     *
     * @returns resolves when they are closed
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
