/**
 * Runs that make too little progress are stopped, and the worker gets nothing new for a while.
 */
import { formatRunKey } from "../model/frames.js";
import { expectRemaining, isHopeless, measureSlowness, type RunProgress } from "../policies/runProgress.js";
import { recordStall } from "../policies/workerHealth.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { stopRun } from "./starts.js";

/** Time over which a worker's speed is measured, in milliseconds: several views, and short against most tasks. */
const measureIntervalMilliseconds = 150;

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
    const slowWorkerSpeed = measureWorker(state, worker, working);
    working.forEach((row, index) => {
        const run = progress[index];
        if (run !== undefined && isHopeless(run, slowWorkerSpeed, state.health.isOnTrial)) {
            state.log("warn", "run makes too little progress", { ...row.identity, ...run, slowWorkerSpeed });
            stopRun(state, row, "stalled");
            state.updateHealth(recordStall(state.health, state.now));
        }
        else if (run !== undefined) {
            moveFromEndingWorker(state, worker, row, run);
        }
    });
}

/** Stops runs that cannot end before their worker does, while there is time to run them elsewhere. */
function moveFromEndingWorker(state: AgentState, worker: WorkerRow, row: RunRow, run: RunProgress): void {
    const remaining = expectRemaining(run);
    if (worker.endsAt === undefined || remaining === undefined || worker.answeredAt + remaining <= worker.endsAt) {
        return;
    }
    state.log("info", "run is moved off a worker that drains", { ...row.identity, ...run, remaining });
    stopRun(state, row, "moved");
}

/** Measures the worker over the time since the last measurement, so that earlier progress does not hide a change. */
function measureWorker(state: AgentState, worker: WorkerRow, working: readonly RunRow[]): number | undefined {
    if (worker.answeredAt - state.measuredAt < measureIntervalMilliseconds) {
        return undefined;
    }
    const steps = working.map(row => {
        const earlier = state.measuredPercents.get(formatRunKey(row.identity));
        return {
            percent: row.percent - (earlier ?? 0),
            time: worker.answeredAt - (earlier === undefined ? row.runningSince : state.measuredAt),
            estimated: row.order?.estimatedMilliseconds ?? 0,
        };
    });
    state.measuredAt = worker.answeredAt;
    state.measuredPercents = new Map(working.map(row => [formatRunKey(row.identity), row.percent]));
    return measureSlowness(steps);
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
