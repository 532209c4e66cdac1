/**
 * Answers to requests: of callers of this entry, and of other entries that have passed them on.
 */
import type { JobAnswer } from "../model/directJob.js";
import type { EntryState } from "./entryState.js";

/**
 * Answers a request.
 *
 * @param state - state of the entry
 * @param request - id of the request
 * @param job - id of its job
 * @param answer - the answer
 * @param afterMilliseconds - time from the arrival of the job to this answer
 */
export function answerRequest(
    state: EntryState,
    request: number,
    job: string,
    answer: JobAnswer,
    afterMilliseconds: number,
): void {
    const forwarded = state.forwardedRequests.get(request);
    if (forwarded === undefined) {
        state.outputs.push({ kind: "answer", request, job, answer, afterMilliseconds });
        return;
    }
    state.forwardedRequests.delete(request);
    state.forwardingClients.get(forwarded.connection)?.pendingAnswers.push({ number: forwarded.number, job, answer });
}
