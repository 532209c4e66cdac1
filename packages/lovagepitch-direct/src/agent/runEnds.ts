/**
 * Ends of runs: the run's resources are freed and the end is reported to the entry.
 */
import { type EndedRun, pickRunIdentity, type RunEnd } from "../model/frames.js";
import type { AgentState, RecentEnd, RunRow } from "./agentState.js";

/**
 * Time for which an end is kept for an entry that reconnects, in milliseconds; longer than any entry waits for a lost
 * agent.
 */
const endRetentionMilliseconds = 3000;

/**
 * Removes a run that no longer occupies the worker, and reports its end to the entry that ordered it. A run whose start was never
 * ordered ends as not started, whatever has become of the worker.
 *
 * @param state - state of the agent
 * @param row - row of the run
 * @param end - how the run ended
 */
export function endRun(state: AgentState, row: RunRow, end: RunEnd): void {
    state.removeRun(row);
    if (row.entry === undefined) {
        return;
    }
    const actualEnd = row.state === "pending" ? "not-started" : end;
    const ranMilliseconds = row.state === "pending" ? 0 : state.now - row.orderedAt;
    reportEnd(state, row.entry, { ...row.identity, end: actualEnd, ranMilliseconds });
}

/**
 * Reports the end of a run to an entry, and keeps it in case the entry reconnects.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry
 * @param ended - the run, how it ended and its duration
 */
export function reportEnd(state: AgentState, entry: string, ended: EndedRun): void {
    forgetOldEnds(state);
    state.recentEnds.set(entry, [...state.recentEnds.get(entry) ?? [], { ...ended, endedAt: state.now }]);
    for (const row of state.entries.values()) {
        if (row.incarnation === entry && row.connection === "open" && row.hasSentFirstFrame) {
            state.entries.set(row.address, {
                ...row,
                pendingEnds: [...row.pendingEnds, ended],
                hasPendingUpdate: true,
            });
        }
    }
}

function forgetOldEnds(state: AgentState): void {
    for (const [entry] of [...state.recentEnds.entries()]) {
        keepEnds(state, entry, end => state.now - end.endedAt < endRetentionMilliseconds);
    }
}

/**
 * Forgets the ends that an entry has received. A frame reports all ends that are older than itself and not confirmed.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry
 * @param newestSentAt - when the newest frame that the entry has received was sent, in milliseconds
 */
export function forgetConfirmedEnds(state: AgentState, entry: string, newestSentAt: number): void {
    keepEnds(state, entry, end => end.endedAt >= newestSentAt);
}

/**
 * Lists the ends that an entry may not have received.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry
 * @returns ends to be reported on a new connection
 */
export function listUnconfirmedEnds(state: AgentState, entry: string): readonly EndedRun[] {
    forgetOldEnds(state);
    return (state.recentEnds.get(entry) ?? []).map(({ end, ranMilliseconds, ...identity }) => {
        return { ...pickRunIdentity(identity), end, ranMilliseconds };
    });
}

/**
 * Tells whether there are ends that an entry may not have received.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry
 * @returns false when all are confirmed, or too old to be repeated
 */
export function hasUnconfirmedEnds(state: AgentState, entry: string): boolean {
    return (state.recentEnds.get(entry) ?? []).some(end => state.now - end.endedAt < endRetentionMilliseconds);
}

function keepEnds(state: AgentState, entry: string, isKept: (end: RecentEnd) => boolean): void {
    const ends = state.recentEnds.get(entry);
    if (ends === undefined || ends.every(isKept)) {
        return;
    }
    const kept = ends.filter(isKept);
    if (kept.length > 0) {
        state.recentEnds.set(entry, kept);
    }
    else {
        state.recentEnds.delete(entry);
    }
}

/**
 * Ends every run as lost, because the worker's incarnation has ended or its lease has expired.
 *
 * @param state - state of the agent
 */
export function endAllRunsAsLost(state: AgentState): void {
    for (const row of [...state.runs.values()]) {
        endRun(state, row, "lost");
    }
}
