/**
 * Load pattern: tasks on some workers stand still while the worker answers every call. Progress that does not change
 * shows it within a fraction of a second, so that the task can still make its job's objective elsewhere.
 */
import type { AgentState } from "./agentState.js";
import { stopRun } from "./starts.js";

/** Least time without progress before a run counts as stalled: three views of the worker. */
const leastStallMilliseconds = 350;

/**
 * Share of the estimated run time without progress that counts as a stall. Progress is listed in percent, so a task
 * that works as estimated changes it every hundredth of that time.
 */
const stallShareOfEstimate = 0.15;

/**
 * Tells whether a run makes no progress.
 *
 * @param unchangedMilliseconds - how long its progress has been the same
 * @param estimatedMilliseconds - the caller's estimate of its run time
 * @returns true when a working task would have shown progress
 */
export function isStalled(unchangedMilliseconds: number, estimatedMilliseconds: number): boolean {
    return unchangedMilliseconds > Math.max(leastStallMilliseconds, estimatedMilliseconds * stallShareOfEstimate);
}

/**
 * Stops runs without progress; their entry may start the tasks elsewhere.
 *
 * @param state - the agent
 */
export function stopStalledRuns(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || !worker.isResponsive) {
        return;
    }
    for (const row of [...state.runs.values()]) {
        if (row.state !== "running" || row.order === undefined) {
            continue;
        }
        // Progress is known as of the worker's latest answer.
        const unchanged = worker.answeredAt - row.percentChangedAt;
        if (isStalled(unchanged, row.order.estimatedMilliseconds)) {
            state.log("warn", "run makes no progress", { ...row.identity, percent: row.percent, unchanged });
            stopRun(state, row, "stalled");
        }
    }
}
