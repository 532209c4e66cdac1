/**
 * Claims callers' idempotency keys: a key is bound to a submission id before any task of the job starts.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Problem } from "@lovagepitch/types/problem";
import { digestJson } from "@lovagepitch/utils/digest";
import type { CallerKey, ClaimOutcome, RequestId } from "../entryInput.js";
import type { EntryState } from "../entryState.js";
import { admit } from "./admission.js";
import { createMismatchProblem } from "./callerRequests.js";
import { routeRequest } from "./routing.js";

/** Retry-After while the platform's table does not answer. */
const retryMilliseconds = 2_000;

/**
 * Asks the platform's table to bind a caller's key to a new submission id.
 *
 * @param state - entry state, updated in place
 * @param request - id of the caller's request
 * @param key - key that the caller chose
 * @param job - validated job that the caller submits
 */
export function claimKey(state: EntryState, request: RequestId, key: CallerKey, job: JobRequest): void {
    const submission = state.issueSubmissionId();
    state.claims.set(request, { key, submission, job });
    state.emit({ type: "claimKey", request, key, jobDigest: digestJson(job), submission });
}

/**
 * Submits or refuses the job once its claim has ended.
 *
 * @param state - entry state, updated in place
 * @param request - id of the caller's request
 * @param outcome - result of the claim
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
 * Refuses a job that can never run before its key is claimed.
 *
 * @param state - entry state, updated in place
 * @param job - validated job that the caller submits
 * @returns the refusal, or undefined when the key may be claimed
 */
export function refuseBeforeClaim(state: EntryState, job: JobRequest): Problem | undefined {
    const admitted = admit(state, job, undefined);
    // The key may be bound to an earlier submission of this job, so only jobs that can never run are refused here.
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
