/**
 * Leases that entries hold on their runs: an entry that is not heard from loses its runs and queued orders.
 */
import { formatRunKey } from "../model/frames.js";
import type { AgentState, RunRow } from "./agentState.js";
import { withdrawQueuedOrder } from "./orderQueue.js";
import { stopRun } from "./stopOrders.js";
import { listEntryLeaseExpiries } from "./workerLease.js";

/**
 * Stops the runs and returns the queued orders of entries whose lease has expired.
 *
 * @param state - state of the agent
 */
export function stopOrphanedRuns(state: AgentState): void {
    if (state.runs.size === 0 && state.queuedOrders.size === 0) {
        return;
    }
    const expiries = listEntryLeaseExpiries(state);
    const isLeaseExpired = (entry: string): boolean => state.now > (expiries.get(entry) ?? Number.NEGATIVE_INFINITY);
    for (const { entry, order } of [...state.queuedOrders.values()]) {
        if (isLeaseExpired(entry)) {
            withdrawQueuedOrder(state, entry, order);
        }
    }
    for (const row of state.runs.values()) {
        if (row.entry === undefined || !isLeaseExpired(row.entry)) {
            continue;
        }
        if (row.state === "stopping" || row.state === "stopped") {
            // The agent stops it already; a lease that is renewed later must not extend it.
            markRequiredEnd(state, row, expiries.get(row.entry) ?? state.now);
        }
        else {
            state.log("warn", "run stopped because the lease of its entry expired", {
                ...row.identity,
                entry: row.entry,
            });
            requireEnd(state, row, expiries.get(row.entry) ?? state.now);
        }
    }
}

/**
 * Stops a run whose entry no longer wants it or is not heard any more. From then on the entry counts on its end within a
 * bound, whatever the worker does with the stop.
 *
 * @param state - state of the agent
 * @param row - row of the run
 * @param since - instant from which the run has to end, in monotonic milliseconds; a later one than before has no effect
 */
export function requireEnd(state: AgentState, row: RunRow, since: number): void {
    stopRun(state, markRequiredEnd(state, row, since), "stopped");
}

/** Notes since when a run has to end. A later instant than the known one has no effect. */
function markRequiredEnd(state: AgentState, row: RunRow, since: number): RunRow {
    const mustEndSince = Math.min(row.mustEndSince ?? state.now, since);
    if (mustEndSince === row.mustEndSince) {
        return row;
    }
    const updated = { ...row, mustEndSince };
    state.runs.set(formatRunKey(row.workerRun), updated);
    return updated;
}
