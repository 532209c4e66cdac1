/**
 * The planned stop of the agent.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import { hastenDeliveries, holdsResult } from "./deliverOutcomes.js";
import type { TickContext } from "./tickContext.js";

/** Longest time that a stopping agent tries to reach an entry that cannot be reached, in milliseconds. */
const longestReachMilliseconds = 5_000;

/**
 * Begins the stop: starts are refused from now on.
 *
 * @param context - the tick
 */
export function beginStop(context: TickContext): void {
    const { tables } = context;
    if (agentLifecycle.allows(tables.agent, "leave")) {
        tables.agent = agentLifecycle.next(tables.agent, "leave");
        tables.leavingSinceMilliseconds = context.now;
        hastenDeliveries(context);
    }
}

/**
 * Ends the stop once nothing runs and every outcome has arrived or its receiver cannot be reached.
 *
 * @param context - the tick
 */
export function endStop(context: TickContext): void {
    const { tables } = context;
    if (tables.agent !== "leaving" || tables.runningTasks + tables.standingBy.size > 0) {
        return;
    }
    for (const delivery of tables.deliveries.values()) {
        if (holdsResult(context, delivery) && isWorthWaiting(context, delivery.receiver)) {
            return;
        }
    }
    // The process deregisters once the ledger is handed over; a row that left without one would hide what ran.
    tables.agent = agentLifecycle.next(tables.agent, "drained");
}

function isWorthWaiting(context: TickContext, receiver: PeerAddress): boolean {
    const since = context.tables.entries.get(receiver)?.unreachableSinceMilliseconds;
    if (since === undefined) {
        return true;
    }
    // A connection that fell silent says little: the next one may work.
    const givenUpAt = Math.max(since, context.tables.leavingSinceMilliseconds) + longestReachMilliseconds;
    context.wakeAt(givenUpAt);
    return context.now < givenUpAt;
}
