/**
 * Refusals of requests that never reach the core.
 */
import type { Problem } from "@lovagepitch/types/problem";

/**
 * Makes the refusal of a malformed request.
 *
 * @param status - status code from 400 to 499
 * @param detail - what is wrong
 * @param remedy - what to send instead
 * @returns the refusal
 */
export function createMalformedProblem(status: number, detail: string, remedy: string): Problem {
    return { kind: "malformed-request", status, detail, remedy, execution: "not-run" };
}

/**
 * Makes the refusal of a body beyond the limit.
 *
 * @param maximumBytes - the limit
 * @returns the refusal
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
 * Makes the refusal of a request beyond the number that may wait.
 *
 * @returns the refusal; it comes before the submission is looked up
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
 * Makes the refusal after a defect.
 *
 * @returns the refusal
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
 * Restates a refusal of a body that came under a submission's id. An earlier body under the same id may have run, so
 * the refusal must not say of the submission that it did not.
 *
 * @param problem - the refusal of the body
 * @returns the refusal for the submission
 */
export function restateForSubmission(problem: Problem): Problem {
    return {
        ...problem,
        detail: `${problem.detail}. This body starts nothing; an earlier one under the same id or key may have run`,
        execution: "unknown-yet",
    };
}
