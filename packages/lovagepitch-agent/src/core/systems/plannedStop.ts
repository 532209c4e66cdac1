/**
 * The planned stop of the agent.
 */
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import { holdsResult } from "./deliverOutcomes.js";
import type { TickContext } from "./tickContext.js";

/**
 * Begins the stop: starts are refused from now on.
 *
 * @param context - the tick
 */
export function beginStop(context: TickContext): void {
    const { tables } = context;
    if (agentLifecycle.allows(tables.agent, "leave")) {
        tables.agent = agentLifecycle.next(tables.agent, "leave");
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
        const isReachable = tables.entries.get(delivery.receiver)?.unreachable !== true;
        if (isReachable && holdsResult(context, delivery)) {
            return;
        }
    }
    // The process deregisters once the ledger is handed over; a row that left without one would hide what ran.
    tables.agent = agentLifecycle.next(tables.agent, "drained");
}
