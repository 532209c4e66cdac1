/**
 * Stops runs that make too little progress, and pauses the worker.
 */
import { formatRunKey } from "../model/frames.js";
import {
    estimateRemainingMilliseconds,
    isYoungRun,
    measureSlowWorkerSpeed,
    type RunProgress,
    shouldRescheduleRun,
} from "../policies/runProgress.js";
import { recordStall } from "../policies/workerHealth.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { stopRun } from "./stopOrders.js";
import { getUsualSpeed } from "./workerSpeed.js";

/** Interval over which a worker's speed is measured, in milliseconds; several views, and shorter than most tasks. */
const speedMeasurementIntervalMilliseconds = 150;

/**
 * Stops runs that would end earlier on another worker; their entries place the tasks again.
 *
 * @param state - state of the agent
 */
export function stopStalledRuns(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || !worker.isResponsive || worker.lastAnsweredAt <= state.progressCheckedAt) {
        return;
    }
    state.progressCheckedAt = worker.lastAnsweredAt;
    const runningRows = [...state.runs.values()].filter(row => row.state === "running" && row.order !== undefined);
    const progress = runningRows.map(row => describeProgress(row, worker));
    const slowWorkerSpeed = measureWorkerSpeed(state, worker, runningRows);
    const usualSpeed = getUsualSpeed(state);
    runningRows.forEach((row, index) => {
        // A task that runs again may be a long one, so its run time is no sign of a slow worker.
        const isOnTrial = state.health.isOnTrial && row.identity.run === 1;
        const run = progress[index];
        if (run !== undefined && shouldRescheduleRun(run, slowWorkerSpeed, isOnTrial, usualSpeed)) {
            state.log("warn", "run stopped because of insufficient progress", {
                ...row.identity,
                ...run,
                slowWorkerSpeed,
            });
            stopRun(state, row, "stalled");
            // A task that has stalled elsewhere too is more likely the cause than two workers.
            if (row.order?.hasStalled !== true) {
                state.updateHealth(recordStall(state.health, state.now));
            }
        }
        else if (run !== undefined) {
            moveRunOffEndingWorker(state, worker, row, run);
        }
    });
}

/** Stops a run that cannot end before its draining worker does, while there is still time to run the task elsewhere. */
function moveRunOffEndingWorker(state: AgentState, worker: WorkerRow, row: RunRow, run: RunProgress): void {
    const remaining = estimateRemainingMilliseconds(run);
    if (worker.endsAt === undefined || remaining === undefined || worker.lastAnsweredAt + remaining <= worker.endsAt) {
        return;
    }
    state.log("info", "run is moved off a worker that drains", { ...row.identity, ...run, remaining });
    stopRun(state, row, "moved");
}

/** Measures the worker's speed since the previous measurement, so that earlier progress does not mask a slowdown. */
function measureWorkerSpeed(state: AgentState, worker: WorkerRow, runningRows: readonly RunRow[]): number | undefined {
    if (worker.lastAnsweredAt - state.speedMeasuredAt < speedMeasurementIntervalMilliseconds) {
        return undefined;
    }
    const usualSpeed = getUsualSpeed(state);
    const significantRuns = runningRows.filter(row => {
        const estimated = row.order?.estimatedMilliseconds ?? 0;
        return row.identity.run === 1 && isYoungRun(worker.lastAnsweredAt - row.runningSince, estimated, usualSpeed);
    });
    const deltas = significantRuns.map(row => {
        const earlier = state.percentsAtMeasurement.get(formatRunKey(row.workerRun));
        return {
            percent: row.percent - (earlier ?? 0),
            elapsedMilliseconds: worker.lastAnsweredAt
                - (earlier === undefined ? row.runningSince : state.speedMeasuredAt),
            estimatedMilliseconds: row.order?.estimatedMilliseconds ?? 0,
        };
    });
    state.speedMeasuredAt = worker.lastAnsweredAt;
    state.percentsAtMeasurement = new Map(runningRows.map(row => [formatRunKey(row.workerRun), row.percent]));
    return measureSlowWorkerSpeed(deltas, state.runSpeed.takeRecent(), usualSpeed);
}

/** Describes the progress of a run at the worker's latest answer, the last instant for which it is known. */
function describeProgress(row: RunRow, worker: WorkerRow): RunProgress {
    return {
        percent: row.percent,
        age: worker.lastAnsweredAt - row.runningSince,
        unchanged: worker.lastAnsweredAt - row.percentChangedAt,
        estimated: row.order?.estimatedMilliseconds ?? 0,
    };
}
