/**
 * The planned stop of the agent.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import { hasTaskResult, retryDeliveriesNow } from "./deliverOutcomes.js";
import type { TickContext } from "./tickContext.js";

/** Longest time that a stopping agent tries to reach an entry that cannot be reached, in milliseconds. */
const maximumUnreachableWaitMilliseconds = 5_000;

/**
 * Begins the stop: starts are refused from now on.
 *
 * @param context - the tick
 */
export function beginStop(context: TickContext): void {
    const { tables } = context;
    if (agentLifecycle.allows(tables.agentState, "leave")) {
        tables.agentState = agentLifecycle.next(tables.agentState, "leave");
        tables.stopRequestedAtMilliseconds = context.now;
        retryDeliveriesNow(context);
    }
}

/**
 * Ends the stop once nothing runs and every outcome has arrived or its receiver cannot be reached.
 *
 * @param context - the tick
 */
export function endStop(context: TickContext): void {
    const { tables } = context;
    if (tables.agentState !== "leaving" || tables.runningTasks + tables.standingBy.size > 0) {
        return;
    }
    for (const delivery of tables.deliveries.values()) {
        if (hasTaskResult(context, delivery) && isDeliverable(context, delivery.receiver)) {
            return;
        }
    }
    // The process deregisters once the ledger is handed over; a row that left without one would hide what ran.
    tables.agentState = agentLifecycle.next(tables.agentState, "drained");
}

function isDeliverable(context: TickContext, receiver: PeerAddress): boolean {
    const unreachableSinceMilliseconds = context.tables.entries.get(receiver)?.unreachableSinceMilliseconds;
    if (unreachableSinceMilliseconds === undefined) {
        return true;
    }
    // A connection that fell silent says little: the next one may work.
    const giveUpAtMilliseconds = Math.max(unreachableSinceMilliseconds, context.tables.stopRequestedAtMilliseconds)
        + maximumUnreachableWaitMilliseconds;
    context.wakeAt(giveUpAtMilliseconds);
    return context.now < giveUpAtMilliseconds;
}
