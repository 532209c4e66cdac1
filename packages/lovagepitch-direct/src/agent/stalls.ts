/**
 * Runs that make too little progress are stopped, and the worker gets nothing new for a while.
 */
import { isHopeless, measureSlowness, type RunProgress } from "../policies/runProgress.js";
import { recordStall } from "../policies/workerHealth.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { stopRun } from "./starts.js";

/**
 * Stops runs that would end earlier elsewhere; their entries may start the tasks there.
 *
 * @param state - the agent
 */
export function stopStalledRuns(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || !worker.isResponsive || worker.answeredAt <= state.progressJudgedAt) {
        return;
    }
    state.progressJudgedAt = worker.answeredAt;
    const working = [...state.runs.values()].filter(row => row.state === "running" && row.order !== undefined);
    const progress = working.map(row => describeProgress(row, worker));
    const slowWorkerSpeed = measureSlowness(progress);
    working.forEach((row, index) => {
        const run = progress[index];
        if (run !== undefined && isHopeless(run, slowWorkerSpeed, state.health.isOnTrial)) {
            state.log("warn", "run makes too little progress", { ...row.identity, ...run, slowWorkerSpeed });
            stopRun(state, row, "stalled");
            state.updateHealth(recordStall(state.health, state.now));
        }
    });
}

/** Progress is known as of the worker's latest answer. */
function describeProgress(row: RunRow, worker: WorkerRow): RunProgress {
    return {
        percent: row.percent,
        age: worker.answeredAt - row.runningSince,
        unchanged: worker.answeredAt - row.percentChangedAt,
        estimated: row.order?.estimatedMilliseconds ?? 0,
    };
}
