/**
 * Views of the worker: each one renews the lease of what runs there, and shows progress and ends.
 */
import { formatRunKey } from "../model/frames.js";
import { workerClockError, workerLeaseMilliseconds } from "../model/timing.js";
import type { WorkerReport } from "../model/workerStatus.js";
import { isHealthyRunTime } from "../policies/runProgress.js";
import { initialWorkerHealth, recordFailure, recordSuccess } from "../policies/workerHealth.js";
import type { ReportedRun, ReportedRunEnd, ViewFailure, WorkerView } from "./agentPorts.js";
import type { AgentState, RunRow } from "./agentState.js";
import { endAllRunsAsLost, endRun } from "./runEnds.js";
import { revokeStart, stopRun } from "./runOrders.js";

/** How long the worker may wait for an end: a small part of the lease, and often enough to notice missing progress. */
const viewWaitMilliseconds = 75;

/** Pause before the next call after one that failed, while something may still run there, in milliseconds. */
const retryViewMilliseconds = 30;

/** The same when nothing runs there, in milliseconds; a worker that returns is then found within it. */
const retryIdleViewMilliseconds = 150;

/**
 * Failures in a row, each of another job, that make the worker suspect. The agent does not know whether the jobs also
 * fail elsewhere, so it waits for one more than an entry does.
 */
const failuresUntilSuspect = 3;

/** A worker without an answer for this long gets no new tasks. */
const minimumSilenceMilliseconds = 250;

/**
 * Takes a report of the worker. The first one of a new life is trusted once a call that names this life is answered.
 *
 * @param state - the agent
 * @param report - the report
 */
export function receiveReport(state: AgentState, report: WorkerReport): void {
    const { worker } = state;
    if (worker?.report.id === report.id) {
        if (report.sequence <= worker.report.sequence) {
            return;
        }
        if (report.isDraining && !worker.report.isDraining) {
            state.log("info", "worker drains", { worker: report.id });
        }
        // A worker that has begun to drain does not come back.
        const isDraining = report.isDraining || worker.report.isDraining;
        state.worker = {
            ...worker,
            report: { ...report, isDraining },
            endsAt: computeWorkerEnd(state, report) ?? worker.endsAt,
        };
        state.markUpdatePending();
        return;
    }
    if (worker !== undefined) {
        // It may be an old report; the worker's address answers for one life only, which decides.
        state.pendingReport = report;
        return;
    }
    registerWorker(state, report);
}

function registerWorker(state: AgentState, report: WorkerReport): void {
    state.pendingReport = undefined;
    state.health = initialWorkerHealth;
    state.worker = {
        report,
        endsAt: computeWorkerEnd(state, report),
        // The worker's clock rises, so a process that starts later has the higher epoch.
        epoch: deriveEpoch(report.workerClock),
        isConfirmed: false,
        clockOffset: report.workerClock - state.now,
        acknowledgedEndSequence: 0,
        leaseExtensionSentAt: Number.NEGATIVE_INFINITY,
        lastAnsweredAt: state.now,
        isResponsive: true,
        callInFlight: undefined,
        nextCallAt: state.now,
    };
    state.markUpdatePending();
    state.log("info", "worker registered", { worker: report.id, service: report.service, capacity: report.capacity });
}

function computeWorkerEnd(state: AgentState, report: WorkerReport): number | undefined {
    const { drainRemainingMilliseconds: remaining } = report;
    return report.isDraining && remaining !== undefined ? state.now + remaining : undefined;
}

function deriveEpoch(workerClock: number): number {
    return Math.max(1, Math.floor(workerClock));
}

/** The worker's present life is over: nothing of it runs any more, and a later life may take its place. */
function removeWorker(state: AgentState): void {
    endAllRunsAsLost(state);
    state.worker = undefined;
    state.markUpdatePending();
    if (state.pendingReport !== undefined) {
        registerWorker(state, state.pendingReport);
    }
}

/**
 * Forgets the worker, because it said that it ends.
 *
 * @param state - the agent
 * @param id - the life that ends
 */
export function receiveWorkerLeft(state: AgentState, id: string): void {
    if (state.worker?.report.id === id) {
        state.log("info", "worker left", { worker: id });
        removeWorker(state);
    }
}

/**
 * Asks the worker what runs, when no call is under way.
 *
 * @param state - the agent
 */
export function requestView(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || worker.callInFlight !== undefined || state.now < worker.nextCallAt) {
        return;
    }
    // After a call without an answer the lease is not extended until the worker answers again: it has to be known
    // when everything there has run out.
    const extendsLease = worker.isResponsive && worker.isConfirmed;
    const call = state.nextCall;
    state.nextCall += 1;
    state.outputs.push({
        kind: "view",
        call,
        worker: worker.report.id,
        epoch: worker.epoch,
        leaseExpiresAt: extendsLease ? Math.floor(state.now + worker.clockOffset + workerLeaseMilliseconds) : undefined,
        acknowledgedEndSequence: worker.acknowledgedEndSequence,
        waitMilliseconds: extendsLease ? viewWaitMilliseconds : 0,
    });
    state.worker = {
        ...worker,
        callInFlight: call,
        leaseExtensionSentAt: extendsLease ? state.now : worker.leaseExtensionSentAt,
    };
}

/**
 * Takes an answer of the worker.
 *
 * @param state - the agent
 * @param call - number of the call
 * @param view - what the worker lists
 */
export function receiveView(state: AgentState, call: number, view: WorkerView): void {
    const { worker } = state;
    if (worker?.callInFlight !== call) {
        return;
    }
    if (!worker.isResponsive || !worker.isConfirmed) {
        state.markUpdatePending();
        state.log("info", "worker responds", { worker: worker.report.id, running: view.running.length });
    }
    state.worker = {
        ...worker,
        isConfirmed: true,
        clockOffset: view.workerClock - state.now,
        lastAnsweredAt: state.now,
        isResponsive: true,
        callInFlight: undefined,
        nextCallAt: state.now,
        acknowledgedEndSequence: view.ended.reduce(
            (highest, end) => Math.max(highest, end.sequence),
            worker.acknowledgedEndSequence,
        ),
    };
    for (const ended of view.ended) {
        const row = state.runs.get(formatRunKey(ended));
        if (row !== undefined) {
            updateHealthFromEnd(state, row, ended.end);
            endRun(state, row, ended.end === "stopped" ? getReportedStopReason(row) : ended.end);
        }
    }
    reconcileRuns(state, call, view.running);
}

/** A run that is listed as stopped had begun, whatever its start was taken for. */
function getReportedStopReason(row: RunRow): "stopped" | "stalled" | "moved" {
    return row.stopReason === "not-started" ? "stopped" : row.stopReason;
}

/** Judges the worker by the end of a run that it had accepted. */
function updateHealthFromEnd(state: AgentState, row: RunRow, end: ReportedRunEnd["end"]): void {
    if (row.order === undefined) {
        return;
    }
    if (end === "failed") {
        state.updateHealth(recordFailure(state.health, row.identity.job, false, state.now, failuresUntilSuspect));
    }
    else if (
        end === "succeeded" && hasStartedAfterPause(state, row)
        && isHealthyRunTime(state.now - row.runningSince, row.order.estimatedMilliseconds)
    ) {
        state.updateHealth(recordSuccess(state.health));
    }
}

/** A run that began before the worker's pause says nothing about the worker after it. */
function hasStartedAfterPause(state: AgentState, row: RunRow): boolean {
    return !state.health.isOnTrial || row.orderedAt >= state.health.pausedUntil;
}

function reconcileRuns(state: AgentState, call: number, listed: readonly ReportedRun[]): void {
    const listedKeys = new Map(listed.map(run => [formatRunKey(run), run]));
    for (const row of [...state.runs.values()]) {
        const run = listedKeys.get(formatRunKey(row.identity));
        if (run === undefined) {
            // The worker had answered the start or the stop before this view was asked for, so the run is gone.
            if (call >= row.visibleFromCall) {
                endRun(state, row, row.state === "stopped" ? row.stopReason : "lost");
            }
            else if (row.state === "unanswered") {
                revokeStart(state, row);
            }
        }
        else {
            updateRun(state, row, run);
        }
    }
    for (const run of listed) {
        if (!state.runs.has(formatRunKey(run))) {
            stopUnknownRun(state, run);
        }
    }
}

function updateRun(state: AgentState, row: RunRow, listed: ReportedRun): void {
    const key = formatRunKey(row.identity);
    if (row.state === "starting" || row.state === "unanswered") {
        state.runs.set(key, {
            ...row,
            state: "running",
            runningSince: state.now,
            percent: listed.percent,
            percentChangedAt: state.now,
            visibleFromCall: state.nextCall,
        });
    }
    else if (listed.percent !== row.percent) {
        state.runs.set(key, { ...row, percent: listed.percent, percentChangedAt: state.now });
    }
}

/** Stops a run that an earlier process of this agent started. */
function stopUnknownRun(state: AgentState, run: ReportedRun): void {
    const { now } = state;
    const row: RunRow = {
        identity: { job: run.job, task: run.task, run: run.run },
        order: undefined,
        entry: undefined,
        state: "running",
        orderedAt: now,
        lastOrderSentAt: now,
        visibleFromCall: Number.POSITIVE_INFINITY,
        runningSince: now,
        percent: run.percent,
        percentChangedAt: now,
        stopReason: "stopped",
    };
    state.addRun(row);
    state.log("warn", "run of an earlier process is stopped", { ...row.identity });
    stopRun(state, row, "stopped");
}

/**
 * Takes the failure of a call.
 *
 * @param state - the agent
 * @param call - number of the call
 * @param failure - what is known
 */
export function receiveViewFailure(state: AgentState, call: number, failure: ViewFailure): void {
    const { worker } = state;
    if (worker?.callInFlight !== call) {
        return;
    }
    if (failure.kind === "other-incarnation") {
        // Only another life can answer so: everything of this one has ended.
        state.log("warn", "worker has restarted", { worker: worker.report.id });
        removeWorker(state);
        return;
    }
    if (failure.kind === "outdated-epoch") {
        const epoch = deriveEpoch(failure.workerClock);
        state.log("info", "worker has seen a higher epoch; taking a new one", { worker: worker.report.id, epoch });
        state.worker = { ...worker, epoch, isConfirmed: false, callInFlight: undefined, nextCallAt: state.now };
        state.markUpdatePending();
        return;
    }
    if (worker.isResponsive) {
        state.log("warn", "worker does not respond", { worker: worker.report.id });
        state.markUpdatePending();
    }
    state.worker = {
        ...worker,
        isResponsive: false,
        callInFlight: undefined,
        nextCallAt: state.now + (state.runs.size > 0 ? retryViewMilliseconds : retryIdleViewMilliseconds),
    };
    for (const row of [...state.runs.values()].filter(other => other.state === "unanswered")) {
        revokeStart(state, row);
    }
}

/**
 * Ends every run once the worker's lease has run out for certain.
 *
 * @param state - the agent
 */
export function expireWorkerLease(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || worker.isResponsive || state.runs.size === 0) {
        return;
    }
    const maximumLeaseMilliseconds = workerLeaseMilliseconds * (1 + workerClockError);
    if (
        state.now > worker.leaseExtensionSentAt + maximumLeaseMilliseconds
        && state.now > worker.lastAnsweredAt + minimumSilenceMilliseconds
    ) {
        state.log("warn", "leases have run out at a silent worker", {
            worker: worker.report.id,
            runs: state.runs.size,
        });
        endAllRunsAsLost(state);
    }
}
