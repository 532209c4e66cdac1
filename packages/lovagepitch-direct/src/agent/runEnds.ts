/**
 * Ends of runs: the run's resources are freed and the end is reported to the entry.
 */
import type { EndedRun, RunEnd } from "../model/frames.js";
import type { AgentState, RunRow } from "./agentState.js";

/**
 * Time for which an end is kept for an entry that reconnects, in milliseconds; longer than any entry waits for a lost
 * agent.
 */
const endRetentionMilliseconds = 3000;

/** Number of kept ends above which old ones are removed; about as many as one entry causes in the retention time. */
const recentEndsCleanupThreshold = 200;

/**
 * Removes a run that no longer occupies the worker, and reports its end to the entry that ordered it.
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
    reportEnd(state, row.entry, { ...row.identity, end, ranMilliseconds: state.now - row.orderedAt });
}

/**
 * Reports the end of a run to an entry, and keeps it in case the entry reconnects.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry
 * @param ended - the run, how it ended and its duration
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
 * Ends every run as lost, because the worker's incarnation has ended or its lease has expired.
 *
 * @param state - state of the agent
 */
export function endAllRunsAsLost(state: AgentState): void {
    for (const row of [...state.runs.values()]) {
        endRun(state, row, "lost");
    }
}
