/**
 * Finds who answers a caller's request on a submission: this entry, its keeper, or a collection.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { EntryState } from "../entryState.js";
import type { ForwardedCaller } from "../tables/forwardRow.js";
import type { Requester } from "../tables/submissionRow.js";
import { cancelKept, createStopping, queryKept, submitKept } from "./callerRequests.js";
import { forward } from "./forwarding.js";

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
    const decoded = state.parts.codec.decode(submission);
    const requester: Requester = { kind: "caller", request: caller.request };
    if (decoded.err) {
        refuseInvalid(state, caller, decoded.val.message);
        return;
    }
    if (decoded.val.owner.incarnation !== state.parts.identity.incarnation) {
        if (state.stopping && caller.isClaimed !== true && !state.submissions.has(submission)) {
            const problem = state.refuse(createStopping("unknown-yet"));
            state.emit({ type: "respond", request: caller.request, response: { kind: "problem", problem } });
            return;
        }
        forward(state, caller, submission, decoded.val, job);
        return;
    }
    if (job !== undefined) {
        state.callerSubmissions.set(caller.request, submission);
        const isClaimed = caller.isClaimed === true;
        submitKept(state, { requester, submission, identity: decoded.val, job, isClaimed });
        return;
    }
    if (caller.operation === "cancel") {
        cancelKept(state, requester, submission);
        return;
    }
    queryKept(state, requester, submission);
}

function refuseInvalid(state: EntryState, caller: ForwardedCaller, detail: string): void {
    const problem = state.refuse({
        kind: "invalid-submission",
        status: 404,
        detail,
        remedy: "Get an id from POST /v1/submissions.",
        execution: "not-run",
    });
    state.emit({ type: "respond", request: caller.request, response: { kind: "problem", problem } });
}
