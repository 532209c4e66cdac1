/**
 * Sends results to callers and to forwarding entries.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { EntryState } from "../entryState.js";
import type { Requester } from "../tables/submissionRow.js";

/**
 * Sends a result to one requester.
 *
 * @param state - entry state, updated in place
 * @param requester - caller or entry that waits for the result
 * @param submission - id of the submission that the result concerns
 * @param result - answer, progress or problem to send
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

/** Adds a new id to each response that ends a submission, because its callers must not share the next id. */
function addNextSubmission(state: EntryState, result: SubmissionResult): SubmissionResult {
    if (state.isStopping) {
        // Another entry would have to collect a submission whose id was issued by a stopping entry.
        return result;
    }
    if (result.kind === "answer") {
        return { kind: "answer", answer: { ...result.answer, nextSubmission: state.issueSubmissionId() } };
    }
    const isSubmissionEnded = result.kind === "problem"
        && (result.problem.execution === "not-run" || result.problem.kind === "expired-submission");
    if (isSubmissionEnded) {
        return { kind: "problem", problem: { ...result.problem, nextSubmission: state.issueSubmissionId() } };
    }
    return result;
}
