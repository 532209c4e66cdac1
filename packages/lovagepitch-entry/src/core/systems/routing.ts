/**
 * Finds who answers a caller's request on a submission: this entry, its keeper, or a collection.
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
 * @param state - the entry's state
 * @param caller - the request
 * @param submission - the id it names
 * @param job - the job, when the caller submits
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
