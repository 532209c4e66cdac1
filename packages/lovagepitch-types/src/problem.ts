/**
 * Refusals, as RFC 9457 problem documents.
 */

/** Whether the tasks that a refusal concerns have run. */
export type ProblemExecution = "not-run" | "may-have-run" | "unknown-yet";

/** Kinds of refusal; docs/callers.md describes each of them. */
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

/** A refused request, as it is reported to the caller. */
export interface Problem {
    readonly kind: ProblemKind;
    readonly status: number;
    readonly detail: string;
    /** What the caller can do to resolve the problem. */
    readonly remedy: string;
    readonly execution: ProblemExecution;
    /** Time after which the caller should retry, in milliseconds; sent as Retry-After, rounded up to seconds. */
    readonly retryAfterMilliseconds?: number;
    readonly nextSubmission?: string;
}
