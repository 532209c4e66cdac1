/**
 * Decides how the client proceeds after a refusal.
 */
import type { ReceivedProblem } from "./jobResult.js";

/** The client's next step after a refusal. */
export type NextStep =
    /** No task ran; return the refusal to the caller. */
    | "refuse"
    /** Tasks may have run; return an unknown outcome to the caller. */
    | "unknown"
    /** Send the same body under the same identity. */
    | "resubmit"
    /** No task ran and none will run under this identity; submit the job under the id of the response. */
    | "submit-under-next-id";

const retryableStatuses: ReadonlySet<number> = new Set([429, 500, 502, 503, 504]);

/**
 * Decides the next step from a refusal's status, execution and Retry-After.
 *
 * @param problem - problem document of the refusal
 * @param canChangeIdentity - true when only the client knows the identity, so that no one else can retry under it
 * @returns the next step
 */
export function decideNextStep(problem: ReceivedProblem, canChangeIdentity: boolean): NextStep {
    const hasRetryAfter = problem.retryAfterMilliseconds !== undefined;
    if (problem.execution === "may-have-run") {
        return hasRetryAfter ? "resubmit" : "unknown";
    }
    if (!hasRetryAfter && !retryableStatuses.has(problem.status)) {
        return problem.execution === "not-run" ? "refuse" : "unknown";
    }
    if (problem.execution !== "not-run") {
        return "resubmit";
    }
    if (!canChangeIdentity) {
        // The refusal is final for this identity, and only the caller knows who else may submit under it.
        return "refuse";
    }
    return problem.nextSubmission === undefined ? "resubmit" : "submit-under-next-id";
}
