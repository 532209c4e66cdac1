/**
 * Comparison of the agent's runs with those that the worker lists as running.
 */
import { formatRunKey } from "../model/frames.js";
import type { ReportedRun, WorkerView } from "./agentPorts.js";
import type { AgentState, RunRow } from "./agentState.js";
import { endRun } from "./runEnds.js";
import { revokeStart } from "./runOrders.js";
import { repeatStop, stopRun } from "./stopOrders.js";

/**
 * Time after a stop order within which the worker ends the run, in milliseconds; a run that it still lists then has started
 * after the stop.
 */
const stopCompletionMilliseconds = 150;

/** Time after which an order without an answer is not executed any more, in milliseconds; workers execute some seconds late. */
const longestOrderDelayMilliseconds = 5000;

/**
 * Updates the agent's runs from the running runs of a view, and stops runs that the agent does not know.
 *
 * @param state - state of the agent, from which the ended runs of the view have been removed
 * @param call - number of the view call
 * @param view - the view
 */
export function reconcileRuns(state: AgentState, call: number, { running: reported, hasMoreEnds }: WorkerView): void {
    const reportedByKey = new Map(reported.map(run => [formatRunKey(run), run]));
    for (const row of [...state.runs.values()]) {
        const run = reportedByKey.get(formatRunKey(row.workerRun));
        if (run !== undefined) {
            updateRun(state, row, run);
        }
        else if (hasMoreEnds !== true) {
            updateUnlistedRun(state, call, row);
        }
    }
    for (const run of reported) {
        if (!state.runs.has(formatRunKey(run))) {
            stopUnknownRun(state, run);
        }
    }
}

/** Ends a run that a view lists neither as running nor as ended if that shows that it can't run any more. */
function updateUnlistedRun(state: AgentState, call: number, row: RunRow): void {
    if (call >= row.visibleFromCall) {
        // The worker had answered the start or stop order before this view was requested, so the run has ended.
        endRun(state, row, row.state === "stopped" ? row.stopReason : "lost");
    }
    else if (row.state === "stopping" && isStartExcluded(state, row)) {
        state.log("warn", "run without a confirmed stop has ended or was never started", { ...row.identity });
        endRun(state, row, row.stopReason);
    }
    else if (row.state === "unanswered") {
        revokeStart(state, row);
    }
}

/**
 * Tells whether the worker, which does not list a run, can't start it any more: it does nothing for an epoch below that of its
 * view. A later life of the worker, which has seen no epoch yet, could still execute an order that is under way.
 */
function isStartExcluded(state: AgentState, row: RunRow): boolean {
    return row.startEpoch < (state.worker?.confirmedEpoch ?? Number.NEGATIVE_INFINITY)
        && state.now >= row.orderedAt + longestOrderDelayMilliseconds;
}

function updateRun(state: AgentState, row: RunRow, reported: ReportedRun): void {
    const key = formatRunKey(row.workerRun);
    if (row.state === "starting" || row.state === "unanswered") {
        state.runs.set(key, {
            ...row,
            state: "running",
            runningSince: state.now,
            percent: reported.percent,
            percentChangedAt: state.now,
            visibleFromCall: state.nextCall,
        });
    }
    else if (row.state === "stopped" && state.now - row.lastOrderSentAt >= stopCompletionMilliseconds) {
        state.log("warn", "run listed after its stop is stopped again", { ...row.identity });
        repeatStop(state, row);
    }
    else if (reported.percent !== row.percent) {
        state.runs.set(key, { ...row, percent: reported.percent, percentChangedAt: state.now });
    }
}

/** Adds and stops a run that an earlier process of this agent started. */
function stopUnknownRun(state: AgentState, run: ReportedRun): void {
    const { now } = state;
    const workerRun = { job: run.job, task: run.task, run: run.run };
    const row: RunRow = {
        identity: workerRun,
        workerRun,
        order: undefined,
        entry: undefined,
        state: "running",
        orderedAt: now,
        lastOrderSentAt: now,
        startAttempts: 0,
        unansweredAttempts: 0,
        startEpoch: Number.NEGATIVE_INFINITY,
        stopAttempts: 0,
        nextStopAt: now,
        isStopInFlight: false,
        visibleFromCall: Number.POSITIVE_INFINITY,
        runningSince: now,
        percent: run.percent,
        percentChangedAt: now,
        mustEndSince: now,
        stopReason: "stopped",
    };
    state.addRun(row);
    state.log("warn", "run of an earlier process is stopped", { ...row.identity });
    stopRun(state, row, "stopped");
}
