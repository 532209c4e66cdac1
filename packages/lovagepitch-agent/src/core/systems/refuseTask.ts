/**
 * Refusal of tasks that are in the ledger and have not started.
 */
import type { Incarnation, SubmissionKey } from "@lovagepitch/types/identity";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { createTaskKey } from "../entities/agentTables.js";
import { applyTaskEvent, createTaskReport } from "../entities/ledger.js";
import type { QueuedTaskRow, TaskRow } from "../entities/rows.js";
import { queueOutcome } from "./queueOutcome.js";
import type { TickContext } from "./tickContext.js";

/**
 * Finds the highest sequence of a start or recall that was received from an owner. A later start with an equal or lower
 * sequence is refused.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param owner - incarnation of the entry that owns the submissions
 * @returns the sequence; 0 when no start or recall was received
 */
export function findStartSequence(context: TickContext, owner: Incarnation): number {
    return context.tables.startSequences.get(owner) ?? 0;
}

/**
 * Records the refusal of a task that is in the ledger and removes it from the queue.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param submission - id of the submission
 * @param index - index of the task in the submission
 * @param refusal - reason for the refusal, which is reported to the owner
 * @returns the updated row of the task
 */
export function refuseTask(
    context: TickContext,
    submission: SubmissionKey,
    index: number,
    refusal: TaskRefusal,
): TaskRow {
    const { tables, now } = context;
    const owner = tables.submissions.get(submission)?.owner.incarnation ?? "";
    const startSequence = findStartSequence(context, owner);
    tables.queuedTasks.delete(createTaskKey(submission, index));
    context.logDecision("declined", refusal, { submission, task: index });
    return applyTaskEvent(tables, submission, index, "refuse", { refusal, startSequence }, now);
}

/**
 * Refuses a queued task and reports the refusal to its sender.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param queuedTask - row of the task in the queue
 * @param refusal - reason for the refusal, which is reported to the sender
 */
export function refuseQueuedTask(context: TickContext, queuedTask: QueuedTaskRow, refusal: TaskRefusal): void {
    const row = refuseTask(context, queuedTask.submission, queuedTask.index, refusal);
    if (!queuedTask.isReported) {
        // A single report is enough: without a reply the sender repeats the start.
        context.addReport(queuedTask.sender.address, queuedTask.submission, createTaskReport(row));
        return;
    }
    queueOutcome(context, queuedTask.submission, queuedTask.index);
}
