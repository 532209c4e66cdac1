/**
 * Routes callers' requests: to this entry if it owns the submission, otherwise to the owner entry or to a collection.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { EntryState } from "../entryState.js";
import type { ForwardedCaller } from "../tables/forwardRow.js";
import type { Requester } from "../tables/submissionRow.js";
import { cancelSubmission, createStoppingProblem, querySubmission, submitJob } from "./callerRequests.js";
import { forwardRequest } from "./forwarding.js";

/**
 * Routes a caller's request.
 *
 * @param state - entry state, updated in place
 * @param caller - id and operation of the caller's request
 * @param submission - submission id that the request names
 * @param job - job to submit; undefined for a query or a cancellation
 */
export function routeRequest(
    state: EntryState,
    caller: ForwardedCaller,
    submission: SubmissionKey,
    job: JobRequest | undefined,
): void {
    const decoded = state.dependencies.codec.decode(submission);
    const requester: Requester = { kind: "caller", request: caller.request };
    if (decoded.err) {
        refuseInvalidSubmission(state, caller, decoded.val.message);
        return;
    }
    if (decoded.val.owner.incarnation !== state.dependencies.identity.incarnation) {
        if (state.isStopping && caller.isClaimed !== true && !state.submissions.has(submission)) {
            const problem = state.recordRefusal(createStoppingProblem("unknown-yet"));
            state.emit({ type: "respond", request: caller.request, response: { kind: "problem", problem } });
            return;
        }
        forwardRequest(state, caller, submission, decoded.val, job);
        return;
    }
    if (job !== undefined) {
        state.submissionsByRequest.set(caller.request, submission);
        const isClaimed = caller.isClaimed === true;
        submitJob(state, { requester, submission, identity: decoded.val, job, isClaimed });
        return;
    }
    if (caller.operation === "cancel") {
        cancelSubmission(state, requester, submission);
        return;
    }
    querySubmission(state, requester, submission);
}

function refuseInvalidSubmission(state: EntryState, caller: ForwardedCaller, detail: string): void {
    const problem = state.recordRefusal({
        kind: "invalid-submission",
        status: 404,
        detail,
        remedy: "Get an id from POST /v1/submissions.",
        execution: "not-run",
    });
    state.emit({ type: "respond", request: caller.request, response: { kind: "problem", problem } });
}
