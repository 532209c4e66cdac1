/**
 * Views of the worker: the agent polls it for progress and ends of runs, and renews the lease of its runs with each
 * call.
 */
import { formatRunKey } from "../model/frames.js";
import {
    idleViewRetryDelayMilliseconds,
    orderTimeoutMilliseconds,
    workerClockRateError,
    workerLeaseMilliseconds,
} from "../model/timing.js";
import { isHealthyRunTime } from "../policies/runProgress.js";
import { recordFailure, recordSuccess } from "../policies/workerHealth.js";
import type { ReportedRunEnd, ViewFailure, WorkerView } from "./agentPorts.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { receiveHigherEpoch } from "./otherProcesses.js";
import { endAllRunsAsLost, endRun } from "./runEnds.js";
import { revokeStart } from "./runOrders.js";
import { reconcileRuns } from "./runReconciliation.js";
import { confirmCrash, describeRuns, receiveRefusal, refuteCrash } from "./workerCrash.js";
import { estimateWorkerClock, excludeLateCalls, isLeaseWithheld } from "./workerLease.js";
import { beginLaterLife, compareLives } from "./workerLives.js";
import { removeWorker, takeEpoch } from "./workerRegistration.js";
import { getUsualSpeed, recordRunSpeed } from "./workerSpeed.js";

/**
 * Longest time that the worker may wait for a run to end before it answers, in milliseconds: a small part of the lease,
 * and short enough to detect missing progress.
 */
const viewWaitMilliseconds = 75;

/**
 * Longest time that the worker may wait while some view calls get no answer, in milliseconds. The ends of runs are
 * unknown until such a call has timed out, so it must not wait for long.
 */
const cautiousViewWaitMilliseconds = 25;

/** Time for which view calls wait less after one without an answer, in milliseconds. */
const missedViewMemoryMilliseconds = 3000;

/**
 * Longest time that a worker without runs may wait before it answers, in milliseconds. The lease of a run that starts
 * meanwhile lasts beyond the answer.
 */
const idleViewWaitMilliseconds = 300;

/**
 * Delay before the next view call after one that reported ends, in milliseconds. Tasks of a job tend to end together, and
 * ends within this time share a call; it is small against the shortest tasks.
 */
const endCollectionMilliseconds = 4;

/** Delay before the next view call after a failed one while the worker may have runs, in milliseconds. */
const viewRetryDelayMilliseconds = 30;

/**
 * Consecutive failures of different jobs after which the worker is paused. The agent does not know whether the jobs
 * also fail on other workers, so it requires one failure more than an entry does.
 */
const failuresUntilPause = 3;

/** Shortest time without an answer before the runs of a worker count as lost, in milliseconds. */
const minimumSilenceMilliseconds = 250;

/**
 * Requests a view from the worker, unless a view call is in flight or the next one is not due.
 *
 * @param state - state of the agent
 */
export function requestView(state: AgentState): void {
    excludeLateCalls(state);
    const { worker } = state;
    if (worker === undefined || worker.callInFlight !== undefined || state.now < worker.nextCallAt) {
        return;
    }
    // After a call without an answer, the lease is not extended until the worker answers again. Otherwise the agent
    // could not determine when the lease of the worker's runs expires.
    const isAnswering = worker.isResponsive && worker.isConfirmed && worker.missedViews === 0
        && worker.confirmedEpoch === worker.epoch;
    const extendsLease = isAnswering && !isLeaseWithheld(state, workerLeaseMilliseconds);
    const waitMilliseconds = isAnswering ? getViewWaitMilliseconds(state) : 0;
    const call = state.nextCall;
    if (isAnswering && !extendsLease && worker.leaseExtensionCall === call - 1) {
        state.log("warn", "leases not extended because a run that has to end goes on", { runs: describeRuns(state) });
    }
    state.nextCall += 1;
    state.outputs.push({
        kind: "view",
        call,
        worker: worker.report.id,
        life: worker.life,
        epoch: worker.epoch,
        leaseExpiresAt: extendsLease
            ? Math.floor(estimateWorkerClock(worker, state.now) + workerLeaseMilliseconds)
            : undefined,
        acknowledgedEndSequence: worker.acknowledgedEndSequence,
        waitMilliseconds,
        timeoutMilliseconds: waitMilliseconds + orderTimeoutMilliseconds,
    });
    state.worker = {
        ...worker,
        callInFlight: call,
        leaseExtensionSentAt: extendsLease
            ? Math.max(state.now, worker.leaseExtensionSentAt)
            : worker.leaseExtensionSentAt,
        leaseExtensionCall: extendsLease ? call : worker.leaseExtensionCall,
    };
}

function getViewWaitMilliseconds(state: AgentState): number {
    const hasMissedViews = state.now - state.viewMissedAt < missedViewMemoryMilliseconds;
    if (state.runs.size === 0) {
        return hasMissedViews ? viewWaitMilliseconds : idleViewWaitMilliseconds;
    }
    return hasMissedViews ? cautiousViewWaitMilliseconds : viewWaitMilliseconds;
}

/**
 * Finds the instant at which the next view call of a worker that answers is due.
 *
 * @param state - state of the agent
 * @returns monotonic milliseconds, or undefined while a call is in flight or the worker does not answer
 */
export function findNextViewAt(state: AgentState): number | undefined {
    const { worker } = state;
    return worker?.callInFlight === undefined && worker?.missedViews === 0 ? worker.nextCallAt : undefined;
}

/**
 * Processes a view of the worker.
 *
 * @param state - state of the agent
 * @param call - number of the view call
 * @param view - running and ended runs of the worker
 */
export function receiveView(state: AgentState, call: number, view: WorkerView): void {
    const { worker } = state;
    if (worker?.callInFlight !== call) {
        return;
    }
    if (isOfOtherLife(state, worker, call, view)) {
        return;
    }
    if (worker.needsEpoch) {
        takeEpoch(state, worker, view.workerClock);
        return;
    }
    refuteCrash(state, worker);
    if (!worker.isResponsive || !worker.isConfirmed) {
        state.markUpdatePending();
        state.log("info", "worker responds", { worker: worker.report.id, running: view.running.length });
    }
    state.worker = {
        ...worker,
        report: worker.report.startedAt === undefined && view.startedAt !== undefined
            ? { ...worker.report, startedAt: view.startedAt }
            : worker.report,
        confirmedEpoch: worker.epoch,
        isConfirmed: true,
        clockOffset: view.workerClock - state.now,
        lastAnsweredAt: state.now,
        missedViews: 0,
        isResponsive: true,
        refusal: undefined,
        callInFlight: undefined,
        nextCallAt: view.ended.length > 0 ? state.now + endCollectionMilliseconds : state.now,
        acknowledgedEndSequence: view.ended.reduce(
            (highest, end) => Math.max(highest, end.sequence),
            worker.acknowledgedEndSequence,
        ),
    };
    excludeLateCalls(state);
    for (const ended of view.ended) {
        const row = state.runs.get(formatRunKey(ended));
        if (row !== undefined) {
            updateHealthFromEnd(state, row, ended.end);
            endRun(state, row, ended.end === "stopped" ? getReportedStopReason(row) : ended.end);
        }
    }
    reconcileRuns(state, call, view);
}

/**
 * Handles an answer of another life of the worker with the same id: that of a later one begins it, and that of an earlier
 * one counts as none.
 */
function isOfOtherLife(
    state: AgentState,
    worker: WorkerRow,
    call: number,
    answer: Pick<WorkerView, "startedAt" | "workerClock">,
): boolean {
    const { startedAt, workerClock } = answer;
    // A recorded worker without a start was recorded by an earlier version, perhaps in a former life.
    const known = worker.report.startedAt ?? (worker.needsEpoch ? Number.NEGATIVE_INFINITY : undefined);
    const life = compareLives(known, startedAt);
    // A record of another writer may name any start; the worker that answers tells its own.
    const isUnconfirmedRecord = worker.isRestored && worker.confirmedEpoch === Number.NEGATIVE_INFINITY;
    if (startedAt !== undefined && (life === "later" || (life === "earlier" && isUnconfirmedRecord))) {
        beginLaterLife(state, worker, { startedAt, workerClock, report: undefined });
    }
    else if (life === "earlier") {
        receiveViewFailure(state, call, { kind: "unknown" });
    }
    return life !== "same";
}

/**
 * Returns the end to report for a run that the worker lists as stopped: it had started, even if its start was revoked.
 */
function getReportedStopReason(row: RunRow): "stopped" | "stalled" | "moved" {
    return row.stopReason === "not-started" ? "stopped" : row.stopReason;
}

/** Updates the worker's health from the end of a run that it had accepted. */
function updateHealthFromEnd(state: AgentState, row: RunRow, end: ReportedRunEnd["end"]): void {
    if (row.order === undefined) {
        return;
    }
    const ranMilliseconds = state.now - row.runningSince;
    if (end === "succeeded") {
        recordRunSpeed(state, row, ranMilliseconds);
    }
    if (end === "failed") {
        state.updateHealth(recordFailure(state.health, row.identity.job, false, state.now, failuresUntilPause));
    }
    else if (
        end === "succeeded" && hasStartedAfterPause(state, row)
        && isHealthyRunTime(ranMilliseconds, row.order.estimatedMilliseconds, getUsualSpeed(state))
    ) {
        state.updateHealth(recordSuccess(state.health));
    }
}

/** Tells whether a run was started after the worker's pause; an earlier run does not show whether it has recovered. */
function hasStartedAfterPause(state: AgentState, row: RunRow): boolean {
    return !state.health.isOnTrial || row.orderedAt >= state.health.pausedUntil;
}

/**
 * Processes the failure of a view call.
 *
 * @param state - state of the agent
 * @param call - number of the view call
 * @param failure - reason of the failure
 */
export function receiveViewFailure(state: AgentState, call: number, failure: ViewFailure): void {
    const { worker } = state;
    if (worker?.callInFlight !== call) {
        return;
    }
    if (failure.kind === "other-incarnation") {
        // Only a different incarnation gives this answer, so all runs of the current one have ended.
        state.log("warn", "worker has restarted", { worker: worker.report.id });
        removeWorker(state);
        return;
    }
    if (failure.kind === "outdated-epoch") {
        if (isOfOtherLife(state, worker, call, failure)) {
            return;
        }
        receiveHigherEpoch(state, worker, failure.workerClock);
        return;
    }
    const hasLateCall = worker.hasLateCall || (failure.kind === "unknown" && call === worker.leaseExtensionCall);
    if (worker.isResponsive && worker.missedViews === 0) {
        // A single answer may be lost; a call that does not wait shows within milliseconds whether the worker responds.
        state.viewMissedAt = state.now;
        state.worker = { ...worker, hasLateCall, missedViews: 1, callInFlight: undefined, nextCallAt: state.now };
        excludeLateCalls(state);
        return;
    }
    if (worker.isResponsive) {
        state.log("warn", failure.kind === "refused" ? "worker refuses calls" : "worker does not respond", {
            worker: worker.report.id,
            runs: describeRuns(state),
        });
        state.markUpdatePending();
    }
    state.worker = {
        ...worker,
        hasLateCall,
        refusal: failure.kind === "refused"
            ? receiveRefusal(state, worker)
            : worker.refusal && { ...worker.refusal, isUnbroken: false },
        missedViews: worker.missedViews + 1,
        isResponsive: false,
        callInFlight: undefined,
        nextCallAt: state.now + (state.runs.size > 0 ? viewRetryDelayMilliseconds : idleViewRetryDelayMilliseconds),
    };
    excludeLateCalls(state);
    for (const row of [...state.runs.values()].filter(other => other.state === "unanswered")) {
        revokeStart(state, row);
    }
}

/**
 * Ends every run as lost once the worker's lease has certainly expired, with its clock error taken into account.
 *
 * @param state - state of the agent
 */
export function expireWorkerLease(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined || worker.isResponsive || state.runs.size === 0) {
        return;
    }
    const maximumLeaseMilliseconds = workerLeaseMilliseconds * (1 + workerClockRateError);
    if (
        state.now > worker.leaseExtensionSentAt + maximumLeaseMilliseconds
        && state.now > worker.lastAnsweredAt + minimumSilenceMilliseconds
    ) {
        state.log("warn", "leases expired at an unresponsive worker", {
            worker: worker.report.id,
            runs: state.runs.size,
        });
        if (worker.refusal?.isUnbroken === true) {
            confirmCrash(state, worker);
        }
        endAllRunsAsLost(state);
    }
}
