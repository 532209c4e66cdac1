/**
 * Ends of runs: the worker's capacity is freed and the entry is told.
 */
import type { EndedRun, RunEnd } from "../model/frames.js";
import type { AgentState, RunRow } from "./agentState.js";

/** How long an end is kept for an entry that connects again; longer than any entry waits for a lost agent. */
const endRetentionMilliseconds = 3000;

/** Ends beyond this number are looked through for old ones: about as many as one entry causes in the time above. */
const recentEndsCleanupThreshold = 200;

/**
 * Removes a run that occupies the worker no more, and reports its end to the entry that ordered it.
 *
 * @param state - the agent
 * @param row - the run
 * @param end - how it ended
 */
export function endRun(state: AgentState, row: RunRow, end: RunEnd): void {
    state.removeRun(row);
    if (row.entry === undefined) {
        return;
    }
    reportEnd(state, row.entry, { ...row.identity, end, ranMilliseconds: state.now - row.orderedAt });
}

/**
 * Reports an end to an entry.
 *
 * @param state - the agent
 * @param entry - incarnation of the entry
 * @param ended - the run and its end
 */
export function reportEnd(state: AgentState, entry: string, ended: EndedRun): void {
    const recent = state.recentEnds.get(entry) ?? [];
    recent.push({ ...ended, endedAt: state.now });
    if (recent.length > recentEndsCleanupThreshold) {
        const kept = recent.filter(old => state.now - old.endedAt < endRetentionMilliseconds);
        state.recentEnds.set(entry, kept);
    }
    else {
        state.recentEnds.set(entry, recent);
    }
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

/**
 * Ends every run, because the worker's life is over or its leases have run out.
 *
 * @param state - the agent
 */
export function endAllRunsAsLost(state: AgentState): void {
    for (const row of [...state.runs.values()]) {
        endRun(state, row, "lost");
    }
}
