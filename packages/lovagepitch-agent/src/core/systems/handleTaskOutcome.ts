/**
 * Outcomes of dispatched tasks, and the health of the backend server that follows from them.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { TaskOutcome } from "../agentInput.js";
import { createTaskKey } from "../entities/agentTables.js";
import { applyTaskEvent } from "../entities/ledger.js";
import { queueOutcome } from "./queueOutcome.js";
import { refuseTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/** Most failed submissions that are stored to distinguish a failing job from a failing backend server. */
const maximumFailedSubmissions = 8;

/**
 * Records the outcome of a running task and queues it for delivery; outcomes of other tasks are ignored.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param submission - id of the submission
 * @param index - index of the task in the submission
 * @param outcome - output, failure reason, or the reason why the task was not delivered to the backend server
 */
export function handleTaskOutcome(
    context: TickContext,
    submission: SubmissionKey,
    index: number,
    outcome: TaskOutcome,
): void {
    const { tables, now } = context;
    if (tables.tasks.get(createTaskKey(submission, index))?.state !== "running") {
        return;
    }
    switch (outcome.kind) {
        case "succeeded":
            applyTaskEvent(tables, submission, index, "succeed", { output: outcome.output }, now);
            break;
        case "failed":
            applyTaskEvent(tables, submission, index, "fail", { reason: outcome.reason }, now);
            break;
        case "not-delivered":
            // Closed, so that an agent incarnation dispatches each task of a submission at most once.
            refuseTask(context, submission, index, "backend-unavailable");
            tables.tasks.update(createTaskKey(submission, index), { isClosed: true });
            break;
    }
    recordBackendServerResult(context, submission, outcome);
    queueOutcome(context, submission, index);
    context.logDecision("finished", outcome.kind, { submission, task: index });
}

function recordBackendServerResult(context: TickContext, submission: SubmissionKey, outcome: TaskOutcome): void {
    const { backendServer } = context.tables;
    if (backendServer === undefined) {
        return;
    }
    if (outcome.kind === "succeeded") {
        context.tables.backendServer = { ...backendServer, failedSubmissions: [] };
        return;
    }
    // Failures of the same submission count once, because the job itself may be at fault.
    const otherSubmissions = backendServer.failedSubmissions.filter(failed => failed !== submission);
    const failedSubmissions = [...otherSubmissions, submission].slice(-maximumFailedSubmissions);
    context.tables.backendServer = { ...backendServer, failedSubmissions };
}
