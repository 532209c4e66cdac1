/**
 * Recalls and queries of tasks by entries.
 */
import type { PeerAddress, PeerIdentity, SubmissionIdentity } from "@lovagepitch/types/identity";
import type { QueryTasks, RecallTasks, TaskReport } from "@lovagepitch/types/peerMessage";
import { createTaskKey, raiseOwnerSequence } from "../entities/agentTables.js";
import { createTaskReport, isForgotten } from "../entities/ledger.js";
import { findStartSequence, refuseTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/**
 * Handles a recall: refuses the recalled tasks that are queued and reports the state of the others. Starts that the
 * entry sent before the recall and that arrive after it are refused.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address and incarnation of the entry; only the owner of the submission can recall its tasks
 * @param message - submission, task indexes and start sequence of the recall
 */
export function recallTasks(context: TickContext, sender: PeerIdentity, message: RecallTasks): void {
    raiseOwnerSequence(context.tables.startSequences, sender.incarnation, message.startSequence);
    const decoded = context.dependencies.codec.decode(message.submission);
    if (decoded.err || decoded.val.owner.incarnation !== sender.incarnation) {
        return;
    }
    for (const index of message.indexes) {
        context.addReport(sender.address, message.submission, recallTask(context, decoded.val, message, index));
    }
}

function recallTask(
    context: TickContext,
    identity: SubmissionIdentity,
    message: RecallTasks,
    index: number,
): TaskReport {
    const row = context.tables.tasks.get(createTaskKey(message.submission, index));
    if (row?.state === "standing-by") {
        return createTaskReport(refuseTask(context, message.submission, index, "recalled"));
    }
    if (row !== undefined && row.state !== "refused") {
        return createTaskReport(row);
    }
    if (isForgotten(context.tables, identity)) {
        return { index, report: { state: "forgotten" } };
    }
    const startSequence = findStartSequence(context, identity.owner.incarnation);
    return { index, report: { state: "refused", refusal: "recalled", startSequence } };
}

/**
 * Handles a query: reports the state of tasks.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address of the entry that receives the reports
 * @param message - submission and indexes of the tasks
 */
export function queryTasks(context: TickContext, sender: PeerAddress, message: QueryTasks): void {
    const decoded = context.dependencies.codec.decode(message.submission);
    if (decoded.err) {
        return;
    }
    for (const index of message.indexes) {
        context.addReport(sender, message.submission, queryTask(context, decoded.val, message, index));
    }
}

function queryTask(
    context: TickContext,
    identity: SubmissionIdentity,
    message: QueryTasks,
    index: number,
): TaskReport {
    const row = context.tables.tasks.get(createTaskKey(message.submission, index));
    if (row !== undefined) {
        return createTaskReport(row);
    }
    if (isForgotten(context.tables, identity)) {
        return { index, report: { state: "forgotten" } };
    }
    const isSealed = context.tables.submissions.get(message.submission)?.isSealed === true;
    if (!isSealed) {
        return { index, report: { state: "unknown" } };
    }
    const startSequence = findStartSequence(context, identity.owner.incarnation);
    return { index, report: { state: "refused", refusal: "sealed", startSequence } };
}
