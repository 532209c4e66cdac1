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
    if (requester.kind === "caller") {
        state.emit({ type: "respond", request: requester.request, response: result });
        return;
    }
    state.send(requester.address, { type: "forwardResult", submission, operation: requester.operation, result });
}
