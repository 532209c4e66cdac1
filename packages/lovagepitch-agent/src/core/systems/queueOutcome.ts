/**
 * Queuing of outcomes for delivery.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import { createPeerScopedKey } from "../entities/agentTables.js";
import type { TickContext } from "./tickContext.js";

/**
 * Queues the outcome of a task for delivery to the submission's owner and to the entries that sealed the submission.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param submission - id of the submission
 * @param index - index of the task in the submission
 */
export function queueOutcome(context: TickContext, submission: SubmissionKey, index: number): void {
    const row = context.tables.submissions.get(submission);
    if (row === undefined) {
        return;
    }
    // A new incarnation at the owner's address has no state of the submission.
    const entry = context.tables.entries.get(row.owner.address);
    const isOwnerReplaced = entry?.incarnation !== undefined && entry.incarnation !== row.owner.incarnation;
    const receivers = new Set(isOwnerReplaced ? row.sealedBy : [row.owner.address, ...row.sealedBy]);
    for (const receiver of receivers) {
        queueForReceiver(context, receiver, submission, index);
    }
}

function queueForReceiver(context: TickContext, receiver: PeerAddress, submission: SubmissionKey, index: number): void {
    const key = createPeerScopedKey(receiver, submission);
    const indexes = context.tables.deliveries.get(key)?.indexes ?? [];
    context.tables.deliveries.set(key, {
        submission,
        receiver,
        indexes: indexes.includes(index) ? indexes : [...indexes, index],
        attempts: 0,
        nextAttemptAtMilliseconds: context.now,
    });
}
