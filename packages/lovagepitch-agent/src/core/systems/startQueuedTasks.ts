/**
 * Dispatch of queued tasks. Every task that the agent sends to the backend server passes through this module.
 */
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { createTaskKey } from "../entities/agentTables.js";
import { applyTaskEvent, createTaskReport } from "../entities/ledger.js";
import type { QueuedTaskRow } from "../entities/rows.js";
import { countFreeSlots } from "./agentLoad.js";
import { refuseQueuedTask } from "./refuseTask.js";
import { consumeReservation } from "./reservations.js";
import { findKind, findStartRefusal, isPermitted } from "./startChecks.js";
import type { TickContext } from "./tickContext.js";

/**
 * Dispatches queued tasks to free slots in order of arrival (FIFO) and refuses those that must no longer start.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function startQueuedTasks(context: TickContext): void {
    for (const queuedTask of [...context.tables.queuedTasks.values()]) {
        const refusal = findRefusal(context, queuedTask);
        if (refusal !== undefined) {
            refuseQueuedTask(context, queuedTask, refusal);
            continue;
        }
        const isAwaitingConfiguration = queuedTask.requiredConfigurationVersion > context.tables.configurationVersion;
        if (!isAwaitingConfiguration && countFreeSlots(context, queuedTask.sender.address) > 0) {
            dispatchTask(context, queuedTask);
            continue;
        }
        keepQueued(context, queuedTask, isAwaitingConfiguration);
    }
}

function findRefusal(context: TickContext, queuedTask: QueuedTaskRow): TaskRefusal | undefined {
    const decoded = context.dependencies.codec.decode(queuedTask.submission);
    if (decoded.err) {
        return "not-eligible";
    }
    const refusal = findStartRefusal(context, decoded.val, queuedTask);
    if (refusal !== undefined) {
        return refusal;
    }
    if (queuedTask.requiredConfigurationVersion > context.tables.configurationVersion) {
        return queuedTask.configurationDeadlineAtMilliseconds <= context.now ? "configuration-behind" : undefined;
    }
    return isPermitted(context, queuedTask.service, queuedTask.kind) ? undefined : "not-permitted";
}

function dispatchTask(context: TickContext, queuedTask: QueuedTaskRow): void {
    const { tables } = context;
    const { submission, index, team, service, kind, payload } = queuedTask;
    const kindManifest = findKind(context, service, kind);
    if (tables.backendServer === undefined || kindManifest === undefined) {
        return;
    }
    tables.queuedTasks.delete(createTaskKey(submission, index));
    const row = applyTaskEvent(tables, submission, index, "start", {}, context.now);
    consumeReservation(context, queuedTask.sender.address, service, "slots");
    context.outputs.push({
        type: "dispatch",
        task: {
            url: tables.backendServer.announcement.url,
            submission,
            index,
            team,
            service,
            kind,
            payload,
            timeoutMilliseconds: kindManifest.taskTimeoutMilliseconds,
        },
    });
    context.logDecision("started", `${service}/${kind}`, {
        submission,
        task: index,
        peer: queuedTask.sender.address,
    });
    if (!queuedTask.isReported) {
        context.addReport(queuedTask.sender.address, submission, createTaskReport(row));
    }
}

function keepQueued(
    context: TickContext,
    queuedTask: QueuedTaskRow,
    isAwaitingConfiguration: boolean,
): void {
    context.wakeAt(queuedTask.deadlineAtMilliseconds);
    if (isAwaitingConfiguration) {
        context.wakeAt(queuedTask.configurationDeadlineAtMilliseconds);
        return;
    }
    if (queuedTask.isReported) {
        return;
    }
    const { submission, index } = queuedTask;
    const sender = queuedTask.sender.address;
    context.tables.queuedTasks.update(createTaskKey(submission, index), { isReported: true });
    consumeReservation(context, sender, queuedTask.service, "queuePlaces");
    context.addReport(sender, submission, { index, report: { state: "standing-by" } });
    context.logDecision("taken", "queued until a slot is free", { submission, task: index, peer: sender });
}
