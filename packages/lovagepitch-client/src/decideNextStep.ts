/**
 * What a refusal allows the client to do.
 */
import type { ReceivedProblem } from "./jobResult.js";

/** The client's next step after a refusal. */
export type NextStep =
    /** Nothing ran; tell the caller. */
    | "refuse"
    /** It may have run; tell the caller. */
    | "unknown"
    /** Send the same body under the same identity. */
    | "resubmit"
    /** Nothing ran for good, so the same work may be sent under the id that came along. */
    | "submit-under-next-id";

const retryableStatuses: ReadonlySet<number> = new Set([429, 500, 502, 503, 504]);

/**
 * Decides the next step.
 *
 * @param problem - the refusal
 * @param mayChangeIdentity - no one else knows the identity, so that no one else can resubmit under it
 * @returns the next step
 */
export function decideNextStep(problem: ReceivedProblem, mayChangeIdentity: boolean): NextStep {
    const invited = problem.retryAfterMilliseconds !== undefined;
    if (problem.execution === "may-have-run") {
        return invited ? "resubmit" : "unknown";
    }
    if (!invited && !retryableStatuses.has(problem.status)) {
        return problem.execution === "not-run" ? "refuse" : "unknown";
    }
    if (problem.execution !== "not-run") {
        return "resubmit";
    }
    if (!mayChangeIdentity) {
        // The refusal holds for this identity for good, and only the caller knows who else may send it.
        return "refuse";
    }
    return problem.nextSubmission === undefined ? "resubmit" : "submit-under-next-id";
}
