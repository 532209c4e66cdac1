/**
 * Views of the worker: each one renews the lease of what runs there, and shows progress and ends.
 */
import { formatRunKey } from "../model/frames.js";
import { workerClockError, workerLeaseMilliseconds } from "../model/timing.js";
import type { WorkerReport } from "../model/workerStatus.js";
import { isSoundRunTime } from "../policies/runProgress.js";
import { recordFailure, recordSuccess, soundHealth } from "../policies/workerHealth.js";
import type { ReportedRun, ReportedRunEnd, ViewFailure, WorkerView } from "./agentPorts.js";
import type { AgentState, RunRow } from "./agentState.js";
import { endRun, loseAllRuns } from "./runEnds.js";
import { revokeStart, stopRun } from "./starts.js";

/** How long the worker may wait for an end: a small part of the lease, and often enough to notice missing progress. */
const viewWaitMilliseconds = 75;

/** Pause before the next call after one that failed, while something may still run there, in milliseconds. */
const retryViewMilliseconds = 30;

/** The same when nothing runs there, in milliseconds; a worker that returns is then found within it. */
const retryIdleViewMilliseconds = 150;

/**
 * Failures in a row, each of another job, that make the worker suspect. The agent does not know whether the jobs also fail
 * elsewhere, so it waits for one more than an entry does.
 */
const failuresOfDifferentJobs = 3;

/** A worker without an answer for this long gets no new tasks. */
const unresponsiveMilliseconds = 250;

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
            endsAt: findEnd(state, report) ?? worker.endsAt,
        };
        state.markOutdated();
        return;
    }
    if (worker !== undefined) {
        // It may be an old report; the worker's address answers for one life only, which decides.
        state.candidate = report;
        return;
    }
    adoptLife(state, report);
}

function adoptLife(state: AgentState, report: WorkerReport): void {
    state.candidate = undefined;
    state.health = soundHealth;
    state.worker = {
        report,
        endsAt: findEnd(state, report),
        // The worker's clock rises, so a process that starts later has the higher epoch.
        epoch: chooseEpoch(report.workerClock),
        isConfirmed: false,
        clockOffset: report.workerClock - state.now,
        acknowledgedEnds: 0,
        leaseSentAt: Number.NEGATIVE_INFINITY,
        answeredAt: state.now,
        isResponsive: true,
        callInFlight: undefined,
        nextCallAt: state.now,
    };
    state.markOutdated();
    state.log("info", "worker registered", { worker: report.id, service: report.service, capacity: report.capacity });
}

function findEnd(state: AgentState, report: WorkerReport): number | undefined {
    const { drainRemainingMilliseconds: remaining } = report;
    return report.isDraining && remaining !== undefined ? state.now + remaining : undefined;
}

function chooseEpoch(workerClock: number): number {
    return Math.max(1, Math.floor(workerClock));
}

/** The worker's present life is over: nothing of it runs any more, and a later life may take its place. */
function endLife(state: AgentState): void {
    loseAllRuns(state);
    state.worker = undefined;
    state.markOutdated();
    if (state.candidate !== undefined) {
        adoptLife(state, state.candidate);
    }
}

/**
 * Forgets the worker, because it said that it ends.
 *
 * @param state - the agent
 * @param id - the life that ends
 */
export function receiveLeave(state: AgentState, id: string): void {
    if (state.worker?.report.id === id) {
        state.log("info", "worker left", { worker: id });
        endLife(state);
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
        leaseUntil: extendsLease ? Math.floor(state.now + worker.clockOffset + workerLeaseMilliseconds) : undefined,
        acknowledgedEnds: worker.acknowledgedEnds,
        waitMilliseconds: extendsLease ? viewWaitMilliseconds : 0,
    });
    state.worker = {
        ...worker,
        callInFlight: call,
        leaseSentAt: extendsLease ? state.now : worker.leaseSentAt,
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
        state.markOutdated();
        state.log("info", "worker responds", { worker: worker.report.id, running: view.running.length });
    }
    state.worker = {
        ...worker,
        isConfirmed: true,
        clockOffset: view.workerClock - state.now,
        answeredAt: state.now,
        isResponsive: true,
        callInFlight: undefined,
        nextCallAt: state.now,
        acknowledgedEnds: view.ended.reduce((highest, end) => Math.max(highest, end.sequence), worker.acknowledgedEnds),
    };
    for (const ended of view.ended) {
        const row = state.runs.get(formatRunKey(ended));
        if (row !== undefined) {
            judgeWorker(state, row, ended.end);
            endRun(state, row, ended.end === "stopped" ? describeStop(row) : ended.end);
        }
    }
    compareWithListed(state, call, view.running);
}

/** A run that is listed as stopped had begun, whatever its start was taken for. */
function describeStop(row: RunRow): "stopped" | "stalled" | "moved" {
    return row.stopReason === "not-started" ? "stopped" : row.stopReason;
}

/** Judges the worker by the end of a run that it had accepted. */
function judgeWorker(state: AgentState, row: RunRow, end: ReportedRunEnd["end"]): void {
    if (row.order === undefined) {
        return;
    }
    if (end === "failed") {
        state.updateHealth(recordFailure(state.health, row.identity.job, false, state.now, failuresOfDifferentJobs));
    }
    else if (
        end === "succeeded" && startedOnTrial(state, row)
        && isSoundRunTime(state.now - row.runningSince, row.order.estimatedMilliseconds)
    ) {
        state.updateHealth(recordSuccess(state.health));
    }
}

/** A run that began before the worker's pause says nothing about the worker after it. */
function startedOnTrial(state: AgentState, row: RunRow): boolean {
    return !state.health.isOnTrial || row.orderedAt >= state.health.pausedUntil;
}

function compareWithListed(state: AgentState, call: number, listed: readonly ReportedRun[]): void {
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
        lastOrderAt: now,
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
    if (failure.kind === "other-life") {
        // Only another life can answer so: everything of this one has ended.
        state.log("warn", "worker has restarted", { worker: worker.report.id });
        endLife(state);
        return;
    }
    if (failure.kind === "outdated-epoch") {
        const epoch = chooseEpoch(failure.workerClock);
        state.log("info", "worker has seen a higher epoch; taking a new one", { worker: worker.report.id, epoch });
        state.worker = { ...worker, epoch, isConfirmed: false, callInFlight: undefined, nextCallAt: state.now };
        state.markOutdated();
        return;
    }
    if (worker.isResponsive) {
        state.log("warn", "worker does not respond", { worker: worker.report.id });
        state.markOutdated();
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
export function expireLease(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || worker.isResponsive || state.runs.size === 0) {
        return;
    }
    const lease = workerLeaseMilliseconds * (1 + workerClockError);
    if (state.now > worker.leaseSentAt + lease && state.now > worker.answeredAt + unresponsiveMilliseconds) {
        state.log("warn", "leases have run out at a silent worker", {
            worker: worker.report.id,
            runs: state.runs.size,
        });
        loseAllRuns(state);
    }
}
