/**
 * Dispatch: the only place where a task is handed to the backend server.
 */
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import { taskKey } from "../entities/agentTables.js";
import { describeTask, moveTask } from "../entities/ledger.js";
import type { StandingByRow } from "../entities/rows.js";
import { countFreeSlots } from "./agentLoad.js";
import { findKind, isPermitted, judgeStart } from "./judgeStart.js";
import { dropStandingBy } from "./refuseTask.js";
import { useReservation } from "./reservations.js";
import type { TickContext } from "./tickContext.js";

/**
 * Starts tasks that stand by, first come first served, and drops those that may not start any more.
 *
 * @param context - the tick
 */
export function startStandingBy(context: TickContext): void {
    for (const waiting of [...context.tables.standingBy.values()]) {
        const refusal = findRefusal(context, waiting);
        if (refusal !== undefined) {
            dropStandingBy(context, waiting, refusal);
            continue;
        }
        const isHeld = waiting.requiredVersion > context.tables.configurationVersion;
        if (!isHeld && countFreeSlots(context, waiting.sender.address) > 0) {
            dispatch(context, waiting);
            continue;
        }
        keepStandingBy(context, waiting, isHeld);
    }
}

function findRefusal(context: TickContext, waiting: StandingByRow): TaskRefusal | undefined {
    const decoded = context.parts.codec.decode(waiting.submission);
    if (decoded.err) {
        return "not-eligible";
    }
    const refusal = judgeStart(context, decoded.val, waiting);
    if (refusal !== undefined) {
        return refusal;
    }
    if (waiting.requiredVersion > context.tables.configurationVersion) {
        return waiting.heldUntilMilliseconds <= context.now ? "configuration-behind" : undefined;
    }
    return isPermitted(context, waiting.service, waiting.kind) ? undefined : "not-permitted";
}

function dispatch(context: TickContext, waiting: StandingByRow): void {
    const { tables } = context;
    const { submission, index, team, service, kind, payload } = waiting;
    const kindManifest = findKind(context, service, kind);
    if (tables.backendServer === undefined || kindManifest === undefined) {
        return;
    }
    tables.standingBy.delete(taskKey(submission, index));
    const row = moveTask(tables, submission, index, "start", {}, context.now);
    useReservation(context, waiting.sender.address, service, "slots");
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
    context.decide("started", `${service}/${kind}`, { submission, task: index, peer: waiting.sender.address });
    if (!waiting.reported) {
        context.report(waiting.sender.address, submission, describeTask(row));
    }
}

function keepStandingBy(context: TickContext, waiting: StandingByRow, isHeld: boolean): void {
    context.wakeAt(waiting.deadlineAtMilliseconds);
    if (isHeld) {
        context.wakeAt(waiting.heldUntilMilliseconds);
        return;
    }
    if (waiting.reported) {
        return;
    }
    const { submission, index } = waiting;
    const sender = waiting.sender.address;
    context.tables.standingBy.update(taskKey(submission, index), { reported: true });
    useReservation(context, sender, waiting.service, "standByPlaces");
    context.report(sender, submission, { index, report: { state: "standing-by" } });
    context.decide("taken", "stands by until a slot is free", { submission, task: index, peer: sender });
}
