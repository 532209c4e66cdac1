/**
 * Graceful shutdown of the agent.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import { hasTaskResult, retryDeliveriesNow } from "./deliverOutcomes.js";
import type { TickContext } from "./tickContext.js";

/** Longest time that a shutdown waits for an unreachable entry that outcomes must be delivered to, in milliseconds. */
const maximumUnreachableWaitMilliseconds = 5_000;

/**
 * Begins a graceful shutdown: the agent refuses further starts and delivers pending outcomes immediately.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function beginShutdown(context: TickContext): void {
    const { tables } = context;
    if (agentLifecycle.allows(tables.agentState, "leave")) {
        tables.agentState = agentLifecycle.next(tables.agentState, "leave");
        tables.shutdownRequestedAtMilliseconds = context.now;
        retryDeliveriesNow(context);
    }
}

/**
 * Completes the shutdown once no task is running or queued and every task result is acknowledged or its receiver has
 * been unreachable for too long.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function completeShutdown(context: TickContext): void {
    const { tables } = context;
    if (tables.agentState !== "leaving" || tables.runningTasks + tables.queuedTasks.size > 0) {
        return;
    }
    for (const delivery of tables.deliveries.values()) {
        if (hasTaskResult(context, delivery) && isDeliverable(context, delivery.receiver)) {
            return;
        }
    }
    // The process marks the registration row as left only after the ledger handover is durable. Without the handover,
    // entries could not determine which tasks ran here.
    tables.agentState = agentLifecycle.next(tables.agentState, "drained");
}

function isDeliverable(context: TickContext, receiver: PeerAddress): boolean {
    const unreachableSinceMilliseconds = context.tables.entries.get(receiver)?.unreachableSinceMilliseconds;
    if (unreachableSinceMilliseconds === undefined) {
        return true;
    }
    // A timed-out connection does not prove that the receiver is down, because the next connection may succeed.
    const giveUpAtMilliseconds = Math.max(unreachableSinceMilliseconds, context.tables.shutdownRequestedAtMilliseconds)
        + maximumUnreachableWaitMilliseconds;
    context.wakeAt(giveUpAtMilliseconds);
    return context.now < giveUpAtMilliseconds;
}
