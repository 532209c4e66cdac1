/**
 * Writing of JSON responses and problem documents.
 */
import type { Problem, ProblemKind } from "@lovagepitch/types/problem";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { EntryResponse } from "../core/entryOutput.js";

/** Header that carries an id for the caller's next submission. */
export const nextSubmissionHeader = "lovagepitch-next-submission";

/** Start of the `type` of every problem; its kind follows. */
const problemTypePrefix = "https://lovagepitch.example/problems/";
const millisecondsPerSecond = 1_000;
/** Time that a caller may take to read a response. */
const writeTimeoutMilliseconds = 30_000;

const problemTitles: Readonly<Record<ProblemKind, string>> = {
    "malformed-request": "The request is malformed",
    "body-too-large": "The body is too large",
    "invalid-submission": "The submission id was not issued here",
    "expired-submission": "The submission id has expired",
    "submission-mismatch": "The submission carries another job",
    "unknown-submission": "The submission is not known",
    "unknown-service": "The service is not configured",
    "unknown-kind": "The kind of work is not configured",
    "unknown-team": "The team is not configured",
    "no-permitted-place": "No permitted place can run the job",
    "task-too-large": "A task is larger than any permitted worker",
    "too-many-tasks": "The job has too many tasks",
    "deadline-unreachable": "The deadline cannot be met",
    "quota-exceeded": "The team's quota is used up",
    "overloaded": "Too much work waits",
    "no-configuration": "No configuration is in force",
    "platform-unavailable": "The platform's service is unavailable",
    "keeper-unreachable": "The entry that holds the submission cannot be reached",
    "outcome-unknown": "The outcome is not known",
    "stopping": "The entry is stopping",
};

/**
 * Sends a JSON document.
 *
 * @param response - the response
 * @param status - status code
 * @param document - the document
 * @param headers - further headers
 */
export function sendJson(
    response: ServerResponse,
    status: number,
    document: unknown,
    headers: OutgoingHttpHeaders = {},
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = JSON.stringify(document);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "cache-control": "no-store",
        ...headers,
    });
    // A caller that stops reading must not hold the answer in memory for good.
    const timer = setTimeout(() => response.destroy(), writeTimeoutMilliseconds);
    response.once("close", () => clearTimeout(timer));
    response.end(body);
}

/**
 * Makes a problem document.
 *
 * @param problem - the refusal
 * @returns the document's fields
 */
export function createProblemDocument(problem: Problem): Readonly<Record<string, unknown>> {
    const { kind, status, detail, execution, remedy, nextSubmission } = problem;
    return {
        type: problemTypePrefix + kind,
        title: problemTitles[kind],
        status,
        detail,
        execution,
        remedy,
        nextSubmission,
    };
}

/**
 * Sends a problem document as RFC 9457 describes it.
 *
 * @param response - the response
 * @param problem - the refusal
 * @param headers - further headers
 */
export function sendProblem(response: ServerResponse, problem: Problem, headers: OutgoingHttpHeaders = {}): void {
    const { status, nextSubmission, retryAfterMilliseconds } = problem;
    sendJson(response, status, createProblemDocument(problem), {
        "content-type": "application/problem+json",
        ...createNextSubmissionHeader(nextSubmission),
        ...(retryAfterMilliseconds === undefined ? {} : { "retry-after": formatRetryAfter(retryAfterMilliseconds) }),
        ...headers,
    });
}

/**
 * Sends the core's response to a caller.
 *
 * @param response - the response
 * @param content - what the core responded
 */
export function sendEntryResponse(response: ServerResponse, content: EntryResponse): void {
    switch (content.kind) {
        case "issued":
            sendJson(response, 201, { submissions: content.submissions });
            return;
        case "answer":
            sendJson(response, 200, content.answer, createNextSubmissionHeader(content.answer.nextSubmission));
            return;
        case "progress":
            sendJson(response, 200, content.progress);
            return;
        case "problem":
            sendProblem(response, content.problem);
            return;
    }
}

function createNextSubmissionHeader(nextSubmission: string | undefined): OutgoingHttpHeaders {
    return nextSubmission === undefined ? {} : { [nextSubmissionHeader]: nextSubmission };
}

/** Whole seconds, rounded up, so that nobody comes back too early. */
function formatRetryAfter(milliseconds: number): string {
    return String(Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond)));
}
