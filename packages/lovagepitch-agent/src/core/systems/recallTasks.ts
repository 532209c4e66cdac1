/**
 * Recalls and queries of tasks.
 */
import type { PeerAddress, SubmissionIdentity } from "@lovagepitch/types/identity";
import type { QueryTasks, RecallTasks, TaskReport } from "@lovagepitch/types/peerMessage";
import { taskKey } from "../entities/agentTables.js";
import { describeTask, isForgotten, openSubmission } from "../entities/ledger.js";
import { hasLedgerRoom } from "./evictLedger.js";
import { refuseTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/**
 * Drops tasks that have not started; one that was never heard of is refused when its start arrives.
 *
 * @param context - the tick
 * @param sender - the entry that asked
 * @param message - the recall
 */
export function recallTasks(context: TickContext, sender: PeerAddress, message: RecallTasks): void {
    const decoded = context.parts.codec.decode(message.submission);
    if (decoded.err) {
        return;
    }
    for (const index of message.indexes) {
        const report = recallTask(context, decoded.val, message, index);
        if (report !== undefined) {
            context.report(sender, message.submission, report);
        }
    }
}

function recallTask(
    context: TickContext,
    identity: SubmissionIdentity,
    message: RecallTasks,
    index: number,
): TaskReport | undefined {
    const { tables } = context;
    if (isForgotten(tables, identity)) {
        return { index, report: { state: "forgotten" } };
    }
    const key = taskKey(message.submission, index);
    const row = tables.tasks.get(key);
    if (row !== undefined && (row.closed || (row.state !== "standing-by" && row.state !== "refused"))) {
        return describeTask(row);
    }
    // Without room for its record the recall stays unanswered, and its sender repeats it.
    if (row === undefined && !hasLedgerRoom(context)) {
        return undefined;
    }
    tables.standingBy.delete(key);
    openSubmission(tables, message.submission, identity, context.now);
    return describeTask(refuseTask(context, message.submission, index, "recalled"));
}

/**
 * Reports what is known of tasks.
 *
 * @param context - the tick
 * @param sender - the entry that asked
 * @param message - the query
 */
export function queryTasks(context: TickContext, sender: PeerAddress, message: QueryTasks): void {
    const decoded = context.parts.codec.decode(message.submission);
    if (decoded.err) {
        return;
    }
    for (const index of message.indexes) {
        context.report(sender, message.submission, queryTask(context, decoded.val, message, index));
    }
}

function queryTask(
    context: TickContext,
    identity: SubmissionIdentity,
    message: QueryTasks,
    index: number,
): TaskReport {
    const row = context.tables.tasks.get(taskKey(message.submission, index));
    if (row !== undefined) {
        return describeTask(row);
    }
    if (isForgotten(context.tables, identity)) {
        return { index, report: { state: "forgotten" } };
    }
    const isSealed = context.tables.submissions.get(message.submission)?.sealed === true;
    return { index, report: isSealed ? { state: "refused", refusal: "sealed" } : { state: "unknown" } };
}
