/**
 * Dispatch: the only place where a task is handed to the backend server.
 */
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { createTaskKey } from "../entities/agentTables.js";
import { applyTaskEvent, createTaskReport } from "../entities/ledger.js";
import type { StandingByRow } from "../entities/rows.js";
import { countFreeSlots } from "./agentLoad.js";
import { refuseStandingByTask } from "./refuseTask.js";
import { consumeReservation } from "./reservations.js";
import { findKind, findStartRefusal, isPermitted } from "./startChecks.js";
import type { TickContext } from "./tickContext.js";

/**
 * Starts tasks that stand by, first come first served, and drops those that may not start any more.
 *
 * @param context - the tick
 */
export function startStandingByTasks(context: TickContext): void {
    for (const standingByTask of [...context.tables.standingBy.values()]) {
        const refusal = findRefusal(context, standingByTask);
        if (refusal !== undefined) {
            refuseStandingByTask(context, standingByTask, refusal);
            continue;
        }
        const isAwaitingConfiguration =
            standingByTask.requiredConfigurationVersion > context.tables.configurationVersion;
        if (!isAwaitingConfiguration && countFreeSlots(context, standingByTask.sender.address) > 0) {
            dispatch(context, standingByTask);
            continue;
        }
        keepTaskStandingBy(context, standingByTask, isAwaitingConfiguration);
    }
}

function findRefusal(context: TickContext, standingByTask: StandingByRow): TaskRefusal | undefined {
    const decoded = context.dependencies.codec.decode(standingByTask.submission);
    if (decoded.err) {
        return "not-eligible";
    }
    const refusal = findStartRefusal(context, decoded.val, standingByTask);
    if (refusal !== undefined) {
        return refusal;
    }
    if (standingByTask.requiredConfigurationVersion > context.tables.configurationVersion) {
        return standingByTask.configurationDeadlineAtMilliseconds <= context.now ? "configuration-behind" : undefined;
    }
    return isPermitted(context, standingByTask.service, standingByTask.kind) ? undefined : "not-permitted";
}

function dispatch(context: TickContext, standingByTask: StandingByRow): void {
    const { tables } = context;
    const { submission, index, team, service, kind, payload } = standingByTask;
    const kindManifest = findKind(context, service, kind);
    if (tables.backendServer === undefined || kindManifest === undefined) {
        return;
    }
    tables.standingBy.delete(createTaskKey(submission, index));
    const row = applyTaskEvent(tables, submission, index, "start", {}, context.now);
    consumeReservation(context, standingByTask.sender.address, service, "slots");
    context.outputs.push({
        type: "dispatch",
        task: {
            url: tables.backendServer.offer.url,
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
        peer: standingByTask.sender.address,
    });
    if (!standingByTask.isReported) {
        context.addReport(standingByTask.sender.address, submission, createTaskReport(row));
    }
}

function keepTaskStandingBy(
    context: TickContext,
    standingByTask: StandingByRow,
    isAwaitingConfiguration: boolean,
): void {
    context.wakeAt(standingByTask.deadlineAtMilliseconds);
    if (isAwaitingConfiguration) {
        context.wakeAt(standingByTask.configurationDeadlineAtMilliseconds);
        return;
    }
    if (standingByTask.isReported) {
        return;
    }
    const { submission, index } = standingByTask;
    const sender = standingByTask.sender.address;
    context.tables.standingBy.update(createTaskKey(submission, index), { isReported: true });
    consumeReservation(context, sender, standingByTask.service, "standByPlaces");
    context.addReport(sender, submission, { index, report: { state: "standing-by" } });
    context.logDecision("taken", "stands by until a slot is free", { submission, task: index, peer: sender });
}
