/**
 * Seals: no more tasks of a submission start here, for good.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { SealSubmissions } from "@lovagepitch/types/peerMessage";
import { createTaskKey } from "../entities/agentTables.js";
import { createStartedTaskReports, getOrCreateSubmission, isForgotten, sealSubmission } from "../entities/ledger.js";
import { ensureLedgerCapacity } from "./evictLedger.js";
import { refuseStandingByTask } from "./refuseTask.js";
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
        sealOneSubmission(context, sender, submission);
    }
}

function sealOneSubmission(context: TickContext, sender: PeerAddress, submission: SubmissionKey): void {
    const { tables } = context;
    const decoded = context.dependencies.codec.decode(submission);
    if (decoded.err) {
        return;
    }
    const isIncomplete = isForgotten(tables, decoded.val);
    if (!isIncomplete) {
        // A seal that is not on record would not hold, so it stays unanswered and its sender repeats it.
        if (!tables.submissions.has(submission) && !ensureLedgerCapacity(context)) {
            return;
        }
        const row = getOrCreateSubmission(tables, submission, decoded.val, context.now);
        for (const index of row.indexes) {
            const standingByTask = tables.standingBy.get(createTaskKey(submission, index));
            if (standingByTask !== undefined) {
                refuseStandingByTask(context, standingByTask, "sealed");
            }
        }
        sealSubmission(tables, submission, sender, context.now);
        context.logDecision("sealed", row.isSealed ? "sealed before" : "an entry cannot reach the keeper", {
            submission,
            peer: sender,
        });
    }
    const reports = createStartedTaskReports(tables, submission);
    context.send(sender, { type: "reportSeal", submission, reports, incomplete: isIncomplete });
}
