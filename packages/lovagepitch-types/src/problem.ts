/**
 * Refusals, as RFC 9457 problem documents.
 */

/** What is true of the work a refusal speaks of. */
export type ProblemExecution = "not-run" | "may-have-run" | "unknown-yet";

/** Kinds of refusal; docs/callers.md has a row for each. */
export type ProblemKind =
    | "malformed-request"
    | "body-too-large"
    | "invalid-submission"
    | "expired-submission"
    | "submission-mismatch"
    | "unknown-submission"
    | "unknown-service"
    | "unknown-kind"
    | "unknown-team"
    | "no-permitted-place"
    | "task-too-large"
    | "too-many-tasks"
    | "deadline-unreachable"
    | "quota-exceeded"
    | "overloaded"
    | "no-configuration"
    | "platform-unavailable"
    | "keeper-unreachable"
    | "outcome-unknown"
    | "stopping";

/** A refusal. */
export interface Problem {
    readonly kind: ProblemKind;
    readonly status: number;
    readonly detail: string;
    /** What the caller can do about it. */
    readonly remedy: string;
    readonly execution: ProblemExecution;
    /** When to come back, in milliseconds; sent as Retry-After, rounded up to seconds. */
    readonly retryAfterMilliseconds?: number;
    readonly nextSubmission?: string;
}
