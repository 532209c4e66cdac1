/**
 * Reading of what entries answer.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer, JobRequest } from "@lovagepitch/types/job";
import type { ProblemExecution, ProblemKind } from "@lovagepitch/types/problem";
import type { TransportOutcome } from "./httpTransport.js";
import type { ReceivedProblem } from "./jobResult.js";

/** A response that arrived. */
export type TransportResponse = Extract<TransportOutcome, { readonly kind: "response" }>;

const nextSubmissionHeader = "lovagepitch-next-submission";
const executions: ReadonlySet<unknown> = new Set<ProblemExecution>(["not-run", "may-have-run", "unknown-yet"]);
const taskStates: ReadonlySet<unknown> = new Set(["succeeded", "failed", "not-run", "may-have-run"]);

type Fields = Readonly<Record<string, unknown>>;

/**
 * Reads a final answer.
 *
 * @param response - the response
 * @param job - the job that was submitted
 * @param submission - the id it was submitted under, when the client knows it
 * @returns the answer, or undefined when the response is not a whole answer to this job
 */
export function parseAnswer(
    response: TransportResponse,
    job: JobRequest,
    submission: SubmissionKey | undefined,
): JobAnswer | undefined {
    const fields = parseObject(response.body);
    if (response.status !== 200 || fields === undefined || typeof fields["submission"] !== "string") {
        return undefined;
    }
    if (submission !== undefined && fields["submission"] !== submission) {
        return undefined;
    }
    const state = fields["state"];
    if ((state !== "complete" && state !== "failed") || !hasEveryTask(fields["tasks"], job, state === "complete")) {
        return undefined;
    }
    return fields as unknown as JobAnswer;
}

/**
 * Reads a refusal.
 *
 * @param response - the response
 * @param nowMilliseconds - the current instant, for a Retry-After that is a date
 * @returns the refusal, or undefined when the response is none of the system's
 */
export function parseProblem(response: TransportResponse, nowMilliseconds: number): ReceivedProblem | undefined {
    const fields = parseObject(response.body);
    if (response.status < 400 || fields === undefined || !executions.has(fields["execution"])) {
        return undefined;
    }
    const retryAfterMilliseconds = parseRetryAfter(response.headers["retry-after"], nowMilliseconds);
    const nextSubmission = parseNextSubmission(response);
    return {
        kind: lastSegment(fields["type"]) as ProblemKind,
        status: response.status,
        detail: textOf(fields["detail"]),
        remedy: textOf(fields["remedy"]),
        execution: fields["execution"] as ProblemExecution,
        ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }),
        ...(nextSubmission === undefined ? {} : { nextSubmission }),
    };
}

/**
 * Reads the id for the caller's next submission.
 *
 * @param response - any response to a submission
 * @returns the id, or undefined when the response brings none
 */
export function parseNextSubmission(response: TransportResponse): SubmissionKey | undefined {
    const header = response.headers[nextSubmissionHeader];
    if (header !== undefined && header !== "") {
        return header;
    }
    const field = parseObject(response.body)?.["nextSubmission"];
    return typeof field === "string" && field !== "" ? field : undefined;
}

/**
 * Reads issued ids.
 *
 * @param response - the response to a request for ids
 * @returns the ids; empty when the response brings none
 */
export function parseIssuedIds(response: TransportResponse): readonly SubmissionKey[] {
    const list = response.status === 201 ? parseObject(response.body)?.["submissions"] : undefined;
    return Array.isArray(list) ? list.filter(id => typeof id === "string") : [];
}

function hasEveryTask(tasks: unknown, job: JobRequest, complete: boolean): boolean {
    if (!Array.isArray(tasks) || tasks.length !== job.tasks.length) {
        return false;
    }
    const indexes = new Set<unknown>();
    for (const task of tasks as readonly unknown[]) {
        if (!isObject(task) || !taskStates.has(task["state"])) {
            return false;
        }
        const isPartial = complete ? task["state"] !== "succeeded" || !("output" in task) : "output" in task;
        if (isPartial) {
            return false;
        }
        indexes.add(task["index"]);
    }
    return job.tasks.every((_task, index) => indexes.has(index));
}

function parseRetryAfter(header: string | undefined, nowMilliseconds: number): number | undefined {
    if (header === undefined || header.trim() === "") {
        return undefined;
    }
    const seconds = Number(header);
    const milliseconds = Number.isNaN(seconds) ? Date.parse(header) - nowMilliseconds : seconds * 1000;
    return Number.isFinite(milliseconds) ? Math.max(0, milliseconds) : undefined;
}

function parseObject(text: string): Fields | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return isObject(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

function isObject(value: unknown): value is Fields {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function lastSegment(type: unknown): string {
    return textOf(type).split(/[/:#]/).at(-1) ?? "";
}

function textOf(value: unknown): string {
    return typeof value === "string" ? value : "";
}
