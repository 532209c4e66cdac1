/**
 * Seals: no more tasks of a submission start here, for good.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { SealSubmissions } from "@lovagepitch/types/peerMessage";
import { taskKey } from "../entities/agentTables.js";
import { describeStartedTasks, isForgotten, openSubmission, sealSubmission } from "../entities/ledger.js";
import { hasLedgerRoom } from "./evictLedger.js";
import { dropStandingBy } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/**
 * Seals submissions and reports what was started of them.
 *
 * @param context - the tick
 * @param sender - the entry that asked; it is told when tasks that still run have finished
 * @param message - the submissions
 */
export function sealSubmissions(context: TickContext, sender: PeerAddress, message: SealSubmissions): void {
    for (const submission of message.submissions) {
        sealOne(context, sender, submission);
    }
}

function sealOne(context: TickContext, sender: PeerAddress, submission: SubmissionKey): void {
    const { tables } = context;
    const decoded = context.parts.codec.decode(submission);
    if (decoded.err) {
        return;
    }
    const incomplete = isForgotten(tables, decoded.val);
    if (!incomplete) {
        // A seal that is not on record would not hold, so it stays unanswered and its sender repeats it.
        if (!tables.submissions.has(submission) && !hasLedgerRoom(context)) {
            return;
        }
        const row = openSubmission(tables, submission, decoded.val, context.now);
        for (const index of row.indexes) {
            const waiting = tables.standingBy.get(taskKey(submission, index));
            if (waiting !== undefined) {
                dropStandingBy(context, waiting, "sealed");
            }
        }
        sealSubmission(tables, submission, sender, context.now);
        context.decide("sealed", row.sealed ? "sealed before" : "an entry cannot reach the keeper", {
            submission,
            peer: sender,
        });
    }
    const reports = describeStartedTasks(tables, submission);
    context.send(sender, { type: "reportSeal", submission, reports, incomplete });
}
