/**
 * Refusal of tasks that were not started.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { taskKey } from "../entities/agentTables.js";
import { describeTask, moveTask } from "../entities/ledger.js";
import type { StandingByRow, TaskRow } from "../entities/rows.js";
import { queueOutcome } from "./queueOutcome.js";
import type { TickContext } from "./tickContext.js";

/** Refusals that hold for every later start as well. */
const closingRefusals: readonly TaskRefusal[] = ["recalled", "sealed"];

/**
 * Records a refusal.
 *
 * @param context - the tick
 * @param submission - the submission, whose records are open
 * @param index - the task's index
 * @param refusal - why it is refused
 * @param attempt - number of the start that is refused; the recorded one when absent
 * @returns the task's row
 */
export function refuseTask(
    context: TickContext,
    submission: SubmissionKey,
    index: number,
    refusal: TaskRefusal,
    attempt?: number,
): TaskRow {
    const closed = closingRefusals.includes(refusal);
    const fields = attempt === undefined ? { refusal, closed } : { refusal, closed, attempt };
    const row = moveTask(context.tables, submission, index, "refuse", fields, context.now);
    context.decide("declined", refusal, { submission, task: index });
    return row;
}

/**
 * Refuses a task that stands by, and sees to it that its sender learns of it.
 *
 * @param context - the tick
 * @param waiting - the task
 * @param refusal - why it is refused
 */
export function dropStandingBy(context: TickContext, waiting: StandingByRow, refusal: TaskRefusal): void {
    context.tables.standingBy.delete(taskKey(waiting.submission, waiting.index));
    const row = refuseTask(context, waiting.submission, waiting.index, refusal);
    if (!waiting.reported) {
        // The sender repeats a start that it has no reply to.
        context.report(waiting.sender, waiting.submission, describeTask(row));
        return;
    }
    queueOutcome(context, waiting.submission, waiting.index);
}
