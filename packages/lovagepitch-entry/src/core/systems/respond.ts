/**
 * Gives results to whoever waits for them.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { EntryState } from "../entryState.js";
import type { Requester } from "../tables/submissionRow.js";

/**
 * Sends a result to one requester.
 *
 * @param state - the entry's state
 * @param requester - who waits
 * @param submission - the submission the result is about
 * @param result - the result
 */
export function respond(
    state: EntryState,
    requester: Requester,
    submission: SubmissionKey,
    result: SubmissionResult,
): void {
    const response = addNextSubmission(state, result);
    if (requester.kind === "caller") {
        state.submissionsByRequest.delete(requester.request);
        state.emit({ type: "respond", request: requester.request, response });
        return;
    }
    const { address, operation } = requester;
    state.send(address, { type: "forwardResult", submission, operation, result: response });
}

/** Each response brings an id of its own, since two callers of one submission must not share the next one. */
function addNextSubmission(state: EntryState, result: SubmissionResult): SubmissionResult {
    if (state.isStopping) {
        // An id of a stopping entry would only lead its caller to a sweep.
        return result;
    }
    if (result.kind === "answer") {
        return { kind: "answer", answer: { ...result.answer, nextSubmission: state.issueSubmissionKey() } };
    }
    const isSubmissionEnded = result.kind === "problem"
        && (result.problem.execution === "not-run" || result.problem.kind === "expired-submission");
    if (isSubmissionEnded) {
        return { kind: "problem", problem: { ...result.problem, nextSubmission: state.issueSubmissionKey() } };
    }
    return result;
}
