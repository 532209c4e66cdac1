/**
 * Seals of submissions: once a submission is sealed, none of its tasks can start at this agent.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { SealSubmissions } from "@lovagepitch/types/peerMessage";
import { createTaskKey } from "../entities/agentTables.js";
import { createStartedTaskReports, getOrCreateSubmission, isForgotten, sealSubmission } from "../entities/ledger.js";
import { ensureLedgerCapacity } from "./evictSubmissions.js";
import { refuseQueuedTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/**
 * Seals submissions and reports the tasks that were started before.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address of the entry that requested the seals; it also receives the outcomes of tasks that still run
 * @param message - ids of the submissions
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
        // A seal that the ledger cannot store would have no effect. Without a reply the sender repeats the request.
        if (!tables.submissions.has(submission) && !ensureLedgerCapacity(context)) {
            return;
        }
        const row = getOrCreateSubmission(tables, submission, decoded.val, context.now);
        for (const index of row.indexes) {
            const queuedTask = tables.queuedTasks.get(createTaskKey(submission, index));
            if (queuedTask !== undefined) {
                refuseQueuedTask(context, queuedTask, "sealed");
            }
        }
        sealSubmission(tables, submission, sender, context.now);
        context.logDecision("sealed", row.isSealed ? "already sealed" : "an entry cannot reach the owner", {
            submission,
            peer: sender,
        });
    }
    const reports = createStartedTaskReports(tables, submission);
    context.send(sender, { type: "reportSeal", submission, reports, incomplete: isIncomplete });
}
