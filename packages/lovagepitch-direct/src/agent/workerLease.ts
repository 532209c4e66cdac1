/**
 * Lease of the worker's runs. One call extends the lease of everything that runs there, so a run that has to end and goes
 * on, because the worker refuses its stop or executes it late, keeps the agent from extending it for the others too.
 */
import {
    entryLeaseMilliseconds,
    reactionAllowanceMilliseconds,
    workerClockRateError,
    workerLeaseMilliseconds,
} from "../model/timing.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";

/** Longest duration of a lease of the worker, with the rate error of its clock, in milliseconds. */
const longestLeaseMilliseconds = Math.ceil(workerLeaseMilliseconds * (1 + workerClockRateError));

/**
 * Tells whether a run that has to end goes on, and a lease that is granted now would let it go on for too long: a whole lease
 * of the worker may be granted until the time has passed that stops take, a shorter one for longer. No call, neither a view
 * nor a start, may extend the lease beyond, which then ends the run in time for its entry.
 *
 * @param state - state of the agent
 * @param leaseMilliseconds - duration of the lease that a call would grant, in milliseconds on the worker's clock
 * @returns true while the lease must not be extended by that
 */
export function isLeaseWithheld(state: AgentState, leaseMilliseconds: number): boolean {
    if (state.runs.size === 0) {
        return false;
    }
    const endsAt = state.now + Math.ceil(leaseMilliseconds * (1 + workerClockRateError));
    const expiries = listEntryLeaseExpiries(state);
    for (const row of state.runs.values()) {
        if (endsAt > findRequiredEnd(row, expiries) + reactionAllowanceMilliseconds + longestLeaseMilliseconds) {
            return true;
        }
    }
    return false;
}

/** Finds the instant from which a run has to end: at once if an earlier process of the agent has started it. */
function findRequiredEnd(row: RunRow, expiries: ReadonlyMap<string, number>): number {
    const expiry = row.entry === undefined ? undefined : expiries.get(row.entry);
    return Math.min(expiry ?? Number.NEGATIVE_INFINITY, row.mustEndSince ?? Number.POSITIVE_INFINITY);
}

/**
 * Lists when the leases of entries expire unless they are renewed.
 *
 * @param state - state of the agent
 * @returns monotonic milliseconds by incarnation of the entry; the lease of one that is missing has expired
 */
export function listEntryLeaseExpiries(state: AgentState): ReadonlyMap<string, number> {
    const expiries = new Map<string, number>();
    for (const { incarnation, leaseRenewedAt } of state.entries.values()) {
        if (incarnation !== undefined) {
            expiries.set(incarnation, leaseRenewedAt + entryLeaseMilliseconds);
        }
    }
    return expiries;
}

/**
 * Raises the epoch after a call without an answer that extends the lease, unless a view call is in flight. Such a call may be
 * executed seconds later, also when this process has ended or is paused, and extend the lease then. The worker does nothing
 * for it once it has answered a view call with the higher epoch; until then no view call extends the lease. While the worker
 * answers views and its answers to starts are late, the epoch is not raised again before a view call has extended the lease;
 * otherwise the lease would expire.
 *
 * @param state - state of the agent
 */
export function excludeLateCalls(state: AgentState): void {
    const { worker } = state;
    if (worker?.hasLateCall !== true || worker.callInFlight !== undefined || worker.needsEpoch) {
        return;
    }
    const needsExtension = worker.isResponsive && worker.missedViews === 0
        && worker.leaseExtensionSentAt < worker.epochRaisedAt && !isLeaseWithheld(state, workerLeaseMilliseconds);
    if (!needsExtension) {
        state.worker = { ...worker, epoch: worker.epoch + 1, epochRaisedAt: state.now, hasLateCall: false };
    }
}

/**
 * Estimates the worker's clock. The estimate is never ahead of the clock, which may have run slowly since the worker's
 * latest answer; a time limit that is computed from it does not end too late.
 *
 * @param worker - row of the worker
 * @param now - current monotonic time, in milliseconds
 * @returns lowest value that the worker's clock may show, in milliseconds
 */
export function estimateWorkerClock(worker: WorkerRow, now: number): number {
    return now + worker.clockOffset - (now - worker.lastAnsweredAt) * workerClockRateError;
}
