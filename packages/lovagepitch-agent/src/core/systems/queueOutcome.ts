/**
 * Outcomes that have to reach an entry.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import { createPeerScopedKey } from "../entities/agentTables.js";
import type { TickContext } from "./tickContext.js";

/**
 * Queues a task's outcome for its keeper, and for the entries that sealed its submission.
 *
 * @param context - the tick
 * @param submission - the submission
 * @param index - the task's index
 */
export function queueOutcome(context: TickContext, submission: SubmissionKey, index: number): void {
    const row = context.tables.submissions.get(submission);
    if (row === undefined) {
        return;
    }
    // A new incarnation at the keeper's address knows nothing of the submission.
    const entry = context.tables.entries.get(row.keeper.address);
    const isKeeperReplaced = entry?.incarnation !== undefined && entry.incarnation !== row.keeper.incarnation;
    const receivers = new Set(isKeeperReplaced ? row.sealedBy : [row.keeper.address, ...row.sealedBy]);
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
