/**
 * Sends JSON responses and problem documents.
 */
import type { Problem, ProblemKind } from "@lovagepitch/types/problem";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { EntryResponse } from "../core/entryOutput.js";

/** Header with a submission id for the caller's next job. */
export const nextSubmissionHeader = "lovagepitch-next-submission";

/** Prefix of the `type` URI of a problem; the kind follows. */
const problemTypePrefix = "https://lovagepitch.example/problems/";
const millisecondsPerSecond = 1_000;
/** Time within which a caller must have read a response. */
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
 * @param response - response to write; nothing happens when it was sent or its connection is closed
 * @param status - HTTP status code
 * @param document - value to serialize as the body
 * @param headers - additional headers
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
    // A caller that stops reading must not keep the response in memory indefinitely.
    const timer = setTimeout(() => response.destroy(), writeTimeoutMilliseconds);
    response.once("close", () => clearTimeout(timer));
    response.end(body);
}

/**
 * Creates a problem document.
 *
 * @param problem - problem that the caller receives
 * @returns fields of the document
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
 * Sends a problem document as described in RFC 9457.
 *
 * @param response - response to write
 * @param problem - problem that the caller receives
 * @param headers - additional headers
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
 * @param response - HTTP response to write
 * @param content - issued ids, answer, progress or problem from the core
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

/** Formats whole seconds, rounded up, so that no caller retries too early. */
function formatRetryAfter(milliseconds: number): string {
    return String(Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond)));
}
