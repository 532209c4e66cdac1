/**
 * Parses and validates the responses of entries.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer, JobRequest } from "@lovagepitch/types/job";
import type { ProblemExecution, ProblemKind } from "@lovagepitch/types/problem";
import type { TransportOutcome } from "./httpTransport.js";
import type { ReceivedProblem } from "./jobResult.js";

/** An HTTP response that was received completely. */
export type TransportResponse = Extract<TransportOutcome, { readonly kind: "response" }>;

const nextSubmissionHeader = "lovagepitch-next-submission";
const executionValues: ReadonlySet<unknown> = new Set<ProblemExecution>(["not-run", "may-have-run", "unknown-yet"]);
const taskStates: ReadonlySet<unknown> = new Set(["succeeded", "failed", "not-run", "may-have-run"]);

type JsonObject = Readonly<Record<string, unknown>>;

/**
 * Parses the final answer to a job.
 *
 * @param response - response to the submission
 * @param job - the submitted job
 * @param submission - id of the submission, or undefined when it was made under a caller's key
 * @returns the answer, or undefined when the response is not a complete answer to this job
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
 * Parses a problem document.
 *
 * @param response - response to the submission
 * @param nowMilliseconds - current time in milliseconds since the Unix epoch, for a Retry-After header with a date
 * @returns the refusal, or undefined when the response is not a problem document of an entry
 */
export function parseProblem(response: TransportResponse, nowMilliseconds: number): ReceivedProblem | undefined {
    const fields = parseObject(response.body);
    if (response.status < 400 || fields === undefined || !executionValues.has(fields["execution"])) {
        return undefined;
    }
    const retryAfterMilliseconds = parseRetryAfter(response.headers["retry-after"], nowMilliseconds);
    const nextSubmission = parseNextSubmission(response);
    return {
        kind: getLastSegment(fields["type"]) as ProblemKind,
        status: response.status,
        detail: toText(fields["detail"]),
        remedy: toText(fields["remedy"]),
        execution: fields["execution"] as ProblemExecution,
        ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }),
        ...(nextSubmission === undefined ? {} : { nextSubmission }),
    };
}

/**
 * Extracts the id that an entry issued for the client's next submission.
 *
 * @param response - any response to a submission
 * @returns the id, or undefined when the response has none
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
 * Parses the response to a request for submission ids.
 *
 * @param response - the response to a request for ids
 * @returns the ids; empty when the response has none
 */
export function parseIssuedIds(response: TransportResponse): readonly SubmissionKey[] {
    const list = response.status === 201 ? parseObject(response.body)?.["submissions"] : undefined;
    return Array.isArray(list) ? list.filter(id => typeof id === "string") : [];
}

function hasEveryTask(tasks: unknown, job: JobRequest, isComplete: boolean): boolean {
    if (!Array.isArray(tasks) || tasks.length !== job.tasks.length) {
        return false;
    }
    const indexes = new Set<unknown>();
    for (const task of tasks as readonly unknown[]) {
        if (!isObject(task) || !taskStates.has(task["state"])) {
            return false;
        }
        const isInconsistent = isComplete ? task["state"] !== "succeeded" || !("output" in task) : "output" in task;
        if (isInconsistent) {
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

function parseObject(text: string): JsonObject | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return isObject(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

function isObject(value: unknown): value is JsonObject {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function getLastSegment(type: unknown): string {
    return toText(type).split(/[/:#]/).at(-1) ?? "";
}

function toText(value: unknown): string {
    return typeof value === "string" ? value : "";
}
