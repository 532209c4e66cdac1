/**
 * Outcomes of dispatched tasks, and what they say of the backend server.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { TaskOutcome } from "../agentInput.js";
import { createTaskKey } from "../entities/agentTables.js";
import { applyTaskEvent } from "../entities/ledger.js";
import { queueOutcome } from "./queueOutcome.js";
import { refuseTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/** Failed submissions that are remembered to tell a bad job from a bad backend server. */
const maximumFailedSubmissions = 8;

/**
 * Records how a task ended.
 *
 * @param context - the tick
 * @param submission - the submission
 * @param index - the task's index
 * @param outcome - how it ended
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
            // Closed, so that one pair is dispatched at most once in the life of the agent.
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
    // The failures of one job count once, for the job may be bad.
    const otherSubmissions = backendServer.failedSubmissions.filter(failed => failed !== submission);
    const failedSubmissions = [...otherSubmissions, submission].slice(-maximumFailedSubmissions);
    context.tables.backendServer = { ...backendServer, failedSubmissions };
}
