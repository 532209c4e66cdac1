/**
 * Submissions under a key that the caller chose: the key is bound to an id before anything starts.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Problem } from "@lovagepitch/types/problem";
import { digestJson } from "@lovagepitch/utils/digest";
import type { CallerKey, ClaimOutcome, RequestId } from "../entryInput.js";
import type { EntryState } from "../entryState.js";
import { admit } from "./admission.js";
import { createMismatchProblem } from "./callerRequests.js";
import { routeRequest } from "./routing.js";

/** When to come back while the platform's table gives no answer. */
const retryMilliseconds = 2_000;

/**
 * Claims a caller's key.
 *
 * @param state - the entry's state
 * @param request - the caller's request
 * @param key - the key
 * @param job - the job
 */
export function claimKey(state: EntryState, request: RequestId, key: CallerKey, job: JobRequest): void {
    const submission = state.issueSubmissionKey();
    state.claims.set(request, { key, submission, job });
    state.emit({ type: "claimKey", request, key, jobDigest: digestJson(job), submission });
}

/**
 * Goes on once the table has answered.
 *
 * @param state - the entry's state
 * @param request - the caller's request
 * @param outcome - how the claim ended
 */
export function resolveClaim(state: EntryState, request: RequestId, outcome: ClaimOutcome): void {
    const claim = state.claims.get(request);
    if (claim === undefined) {
        return;
    }
    state.claims.delete(request);
    if (outcome.kind === "unavailable") {
        respondWithProblem(state, request, createTableUnavailableProblem());
        return;
    }
    if (outcome.jobDigest !== digestJson(claim.job)) {
        respondWithProblem(state, request, createMismatchProblem());
        return;
    }
    routeRequest(state, { request, operation: "submit", isClaimed: true }, outcome.submission, claim.job);
}

/**
 * Refuses a job before its key is claimed, when it could not be done anyway.
 *
 * @param state - the entry's state
 * @param job - the job
 * @returns the refusal, or undefined when the job may be claimed
 */
export function refuseBeforeClaim(state: EntryState, job: JobRequest): Problem | undefined {
    const admitted = admit(state, job, undefined);
    // A job of the same key may be known already, so only what can never run is refused here.
    return admitted.err && admitted.val.status === 422 ? admitted.val : undefined;
}

function respondWithProblem(state: EntryState, request: RequestId, problem: Problem): void {
    state.emit({ type: "respond", request, response: { kind: "problem", problem: state.recordRefusal(problem) } });
}

function createTableUnavailableProblem(): Problem {
    return {
        kind: "platform-unavailable",
        status: 503,
        detail: "The platform's table gave no answer, so nothing is known of the key.",
        remedy:
            "Send the same request again after the time in Retry-After, or use an issued submission id for new work.",
        execution: "unknown-yet",
        retryAfterMilliseconds: retryMilliseconds,
    };
}
