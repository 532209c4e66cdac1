/**
 * Refusal of tasks that were taken and have not started.
 */
import type { Incarnation, SubmissionKey } from "@lovagepitch/types/identity";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { createTaskKey } from "../entities/agentTables.js";
import { applyTaskEvent, createTaskReport } from "../entities/ledger.js";
import type { StandingByRow, TaskRow } from "../entities/rows.js";
import { queueOutcome } from "./queueOutcome.js";
import type { TickContext } from "./tickContext.js";

/**
 * Finds the highest start or recall of a keeper that arrived; earlier ones that arrive later are refused.
 *
 * @param context - the tick
 * @param keeper - incarnation of the keeper
 * @returns its sequence; 0 before there is one
 */
export function findStartSequence(context: TickContext, keeper: Incarnation): number {
    return context.tables.startSequences.get(keeper) ?? 0;
}

/**
 * Records the refusal of a task that is in the ledger.
 *
 * @param context - the tick
 * @param submission - the submission
 * @param index - the task's index
 * @param refusal - why it is refused
 * @returns the task's row
 */
export function refuseTask(
    context: TickContext,
    submission: SubmissionKey,
    index: number,
    refusal: TaskRefusal,
): TaskRow {
    const { tables, now } = context;
    const keeper = tables.submissions.get(submission)?.keeper.incarnation ?? "";
    const startSequence = findStartSequence(context, keeper);
    tables.standingBy.delete(createTaskKey(submission, index));
    context.logDecision("declined", refusal, { submission, task: index });
    return applyTaskEvent(tables, submission, index, "refuse", { refusal, startSequence }, now);
}

/**
 * Refuses a task that stands by, and sees to it that its sender learns of it.
 *
 * @param context - the tick
 * @param standingByTask - the task
 * @param refusal - why it is refused
 */
export function refuseStandingByTask(context: TickContext, standingByTask: StandingByRow, refusal: TaskRefusal): void {
    const row = refuseTask(context, standingByTask.submission, standingByTask.index, refusal);
    if (!standingByTask.isReported) {
        // The sender repeats a start that it has no reply to.
        context.addReport(standingByTask.sender.address, standingByTask.submission, createTaskReport(row));
        return;
    }
    queueOutcome(context, standingByTask.submission, standingByTask.index);
}
