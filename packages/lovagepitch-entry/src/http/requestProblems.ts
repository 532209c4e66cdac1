/**
 * Problems of requests that are refused before they reach the core.
 */
import type { Problem } from "@lovagepitch/types/problem";

/**
 * Creates the problem for a malformed request.
 *
 * @param status - HTTP status code from 400 to 499
 * @param detail - what is malformed
 * @param remedy - what to send instead
 * @returns problem with execution "not-run"
 */
export function createMalformedProblem(status: number, detail: string, remedy: string): Problem {
    return { kind: "malformed-request", status, detail, remedy, execution: "not-run" };
}

/**
 * Creates the problem for a body that is too large.
 *
 * @param maximumBytes - maximum size of a body
 * @returns problem with status 413
 */
export function createTooLargeProblem(maximumBytes: number): Problem {
    return {
        kind: "body-too-large",
        status: 413,
        detail: `The body is larger than ${maximumBytes} bytes`,
        remedy: "Split the job, or send references to the data in its payloads.",
        execution: "not-run",
    };
}

/**
 * Creates the problem for a request that arrives while too many requests wait.
 *
 * @returns problem with execution "unknown-yet", because the submission was not looked up
 */
export function createTooManyRequestsProblem(): Problem {
    return {
        kind: "overloaded",
        status: 503,
        detail: "Too many requests wait at this entry",
        remedy: "Send the same request again after the time in Retry-After.",
        execution: "unknown-yet",
        retryAfterMilliseconds: 1_000,
    };
}

/**
 * Creates the problem for a request that failed because of an internal error.
 *
 * @returns problem with status 500
 */
export function createInternalErrorProblem(): Problem {
    return {
        kind: "outcome-unknown",
        status: 500,
        detail: "The request could not be handled because of a defect",
        remedy: "Send the same request again; report the entry's log line if it fails again.",
        execution: "unknown-yet",
        retryAfterMilliseconds: 1_000,
    };
}

/**
 * Adapts the problem of a body that was sent under a submission id or a caller's key. An earlier body under the same
 * key may have run, so the problem must not say that the submission has not run.
 *
 * @param problem - problem of the body
 * @returns problem of the submission, with execution "unknown-yet"
 */
export function restateForSubmission(problem: Problem): Problem {
    return {
        ...problem,
        detail: `${problem.detail}. This body starts nothing; an earlier one under the same id or key may have run`,
        execution: "unknown-yet",
    };
}
