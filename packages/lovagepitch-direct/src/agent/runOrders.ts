/**
 * Start and stop orders to the worker, and the handling of their answers.
 */
import { type EndedRun, formatRunKey, pickRunIdentity, type StartOrder } from "../model/frames.js";
import { fitsInto, noResources } from "../model/resources.js";
import { orderTimeoutMilliseconds, workerLeaseMilliseconds } from "../model/timing.js";
import { getMaximumRuns } from "../policies/workerHealth.js";
import type { OrderOutcome, WorkerRun } from "./agentPorts.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { mustBeKeptApart } from "./isolation.js";
import { endRun, reportEnd } from "./runEnds.js";
import { isCapacityKnown } from "./workerCapacity.js";
import { estimateWorkerClock, isLeaseWithheld } from "./workerLease.js";
import { isZoneEvacuated } from "./zoneEvacuation.js";

/** The worker rejects a start that arrives later than this, in milliseconds; it usually answers within a few. */
const startWindowMilliseconds = 300;

/** A stop without an answer is sent again after this time, in milliseconds. */
const stopResendIntervalMilliseconds = 50;

/**
 * Reports to an entry that the run of an order has not started.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry that sent the order
 * @param order - start order of the task
 */
export function declineStart(state: AgentState, entry: string, order: StartOrder): void {
    const ended: EndedRun = { ...pickRunIdentity(order), end: "not-started", ranMilliseconds: 0 };
    reportEnd(state, entry, ended);
}

/**
 * Orders the worker to start a task.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @param entry - incarnation of the entry that sent the order
 * @param order - start order of the task
 */
export function startRun(state: AgentState, worker: WorkerRow, entry: string, order: StartOrder): void {
    const { now } = state;
    const workerRun = state.runNumbers.take(order, now);
    state.addRun({
        identity: pickRunIdentity(order),
        workerRun,
        order,
        entry,
        state: "starting",
        orderedAt: now,
        lastOrderSentAt: now,
        startAttempts: 1,
        unansweredAttempts: 0,
        visibleFromCall: Number.POSITIVE_INFINITY,
        runningSince: now,
        percent: 0,
        percentChangedAt: now,
        mustEndSince: undefined,
        stopReason: "not-started",
    });
    sendStart(state, worker, order, workerRun);
}

function sendStart(state: AgentState, worker: WorkerRow, order: StartOrder, run: WorkerRun): void {
    if (state.worker !== undefined) {
        // The worker extends its lease to the latest start.
        const extensionAt = state.now + startWindowMilliseconds - workerLeaseMilliseconds;
        const leaseExtensionSentAt = Math.max(state.worker.leaseExtensionSentAt, extensionAt);
        state.worker = { ...state.worker, leaseExtensionSentAt };
    }
    state.outputs.push({
        kind: "start",
        worker: worker.report.id,
        life: worker.life,
        order,
        run,
        epoch: worker.epoch,
        latestStart: Math.floor(estimateWorkerClock(worker, state.now) + startWindowMilliseconds),
        timeoutMilliseconds: orderTimeoutMilliseconds,
    });
}

/**
 * Repeats start orders whose answer is late. The worker starts a run at most once, so an order is safe to repeat whether
 * or not it was executed.
 *
 * @param state - state of the agent
 */
export function repeatLateStarts(state: AgentState): void {
    const { worker } = state;
    for (const row of state.runs.values()) {
        const dueAt = getRepeatAt(state, row);
        if (worker !== undefined && row.order !== undefined && dueAt !== undefined && state.now >= dueAt) {
            state.runs.set(formatRunKey(row.workerRun), { ...row, startAttempts: row.startAttempts + 1 });
            sendStart(state, worker, row.order, row.workerRun);
        }
    }
}

/**
 * Finds the next instant at which a start order is to be repeated.
 *
 * @param state - state of the agent
 * @returns monotonic milliseconds, or undefined when no order waits for its first answer
 */
export function findNextRepeatAt(state: AgentState): number | undefined {
    let next: number | undefined;
    for (const row of state.runs.values()) {
        const dueAt = getRepeatAt(state, row);
        next = dueAt === undefined || (next !== undefined && next <= dueAt) ? next : dueAt;
    }
    return next;
}

function getRepeatAt(state: AgentState, row: RunRow): number | undefined {
    // A repeated order could be the one that starts the task, in a zone in which none may start any more, or beyond a
    // capacity that has shrunk, and it extends the worker's lease.
    if (row.state !== "starting" || row.startAttempts !== 1) {
        return undefined;
    }
    const mayRepeat = state.worker?.isResponsive === true && !isZoneEvacuated(state)
        && fitsInto(noResources, state.free) && !isLeaseWithheld(state, startWindowMilliseconds);
    return mayRepeat
        ? row.lastOrderSentAt + state.answerTime.repeatDelayMilliseconds
        : undefined;
}

/**
 * Orders the worker to stop a run, which occupies the worker until it reports the end.
 *
 * @param state - state of the agent
 * @param row - row of the run
 * @param reason - end that is reported to the entry once the run has stopped
 */
export function stopRun(state: AgentState, row: RunRow, reason: RunRow["stopReason"]): void {
    const { worker } = state;
    if (row.state === "stopped" || worker === undefined) {
        return;
    }
    state.runs.set(formatRunKey(row.workerRun), {
        ...row,
        state: "stopping",
        lastOrderSentAt: state.now,
        visibleFromCall: Number.POSITIVE_INFINITY,
        stopReason: row.state === "stopping" ? row.stopReason : reason,
    });
    state.outputs.push({
        kind: "stop",
        worker: worker.report.id,
        life: worker.life,
        run: row.workerRun,
        epoch: worker.epoch,
        timeoutMilliseconds: orderTimeoutMilliseconds,
    });
}

/**
 * Processes the worker's answer to a start order.
 *
 * @param state - state of the agent
 * @param run - run of the order, as the worker knows it
 * @param outcome - outcome of the order
 */
export function receiveStartAnswer(state: AgentState, run: WorkerRun, outcome: OrderOutcome): void {
    if (outcome === "unknown" && state.worker !== undefined) {
        state.worker = { ...state.worker, hasLateCall: true };
    }
    const row = state.runs.get(formatRunKey(run));
    if (row?.state !== "starting") {
        return;
    }
    // After a repeated order, a rejection does not show what became of the other one.
    const isOnlyAttempt = row.startAttempts === 1;
    if (isOnlyAttempt && outcome !== "unknown") {
        state.answerTime.record(state.now - row.lastOrderSentAt);
    }
    switch (outcome) {
        case "accepted":
            return recordStarted(state, row);
        case "superseded":
            // The run may have been started by the other attempt and have ended; the next view tells.
            return isOnlyAttempt ? rejectStart(state, row, outcome) : recordStarted(state, row);
        case "rejected":
            return isOnlyAttempt ? rejectStart(state, row, outcome) : recordUnanswered(state, row);
        case "other-incarnation":
            // The former incarnation has ended with all its runs, but the other attempt may have started this one.
            return isOnlyAttempt ? rejectStart(state, row, outcome) : endRun(state, row, "lost");
        case "outdated-epoch":
            requestNewEpoch(state, row);
            return isOnlyAttempt ? endRun(state, row, "not-started") : recordUnanswered(state, row);
        case "unknown": {
            const unansweredAttempts = row.unansweredAttempts + 1;
            state.runs.set(formatRunKey(run), { ...row, unansweredAttempts });
            return unansweredAttempts === row.startAttempts ? recordUnanswered(state, row) : undefined;
        }
    }
}

function recordStarted(state: AgentState, row: RunRow): void {
    state.runs.set(formatRunKey(row.workerRun), {
        ...row,
        state: "running",
        runningSince: state.now,
        percentChangedAt: state.now,
        visibleFromCall: state.nextCall,
    });
}

function rejectStart(state: AgentState, row: RunRow, outcome: OrderOutcome): void {
    state.log("warn", "worker rejected a start", { ...row.identity, outcome });
    endRun(state, row, "not-started");
}

/** Leaves the run to the next view, which shows whether the worker has accepted the order. */
function recordUnanswered(state: AgentState, row: RunRow): void {
    state.runs.set(formatRunKey(row.workerRun), { ...row, state: "unanswered" });
    if (state.worker?.isResponsive === false) {
        revokeStart(state, row);
    }
}

/**
 * Revokes a start without an answer whose run no view has listed. The worker may still execute the start order; a
 * confirmed stop of the run prevents that.
 *
 * @param state - state of the agent
 * @param row - row of the run
 */
export function revokeStart(state: AgentState, row: RunRow): void {
    state.log("warn", "start without an answer is revoked", { ...row.identity });
    stopRun(state, row, "not-started");
}

/**
 * Processes the worker's answer to a stop order.
 *
 * @param state - state of the agent
 * @param run - run of the order, as the worker knows it
 * @param outcome - outcome of the order
 */
export function receiveStopAnswer(state: AgentState, run: WorkerRun, outcome: OrderOutcome): void {
    const row = state.runs.get(formatRunKey(run));
    if (row?.state !== "stopping") {
        return;
    }
    if (outcome === "unknown" || outcome === "rejected") {
        return;
    }
    if (outcome === "outdated-epoch") {
        requestNewEpoch(state, row);
        return;
    }
    state.runs.set(formatRunKey(run), { ...row, state: "stopped", visibleFromCall: state.nextCall });
}

/**
 * Resends stop orders that have not been answered within the resend interval.
 *
 * @param state - state of the agent
 */
export function resendStops(state: AgentState): void {
    for (const row of state.runs.values()) {
        if (row.state === "stopping" && state.now - row.lastOrderSentAt >= stopResendIntervalMilliseconds) {
            stopRun(state, row, row.stopReason);
        }
    }
}

/**
 * Marks the epoch as unconfirmed. The worker rejects the next view too and returns its clock, which gives the new
 * epoch. An order that was sent before this process raised its epoch shows nothing of another process.
 */
function requestNewEpoch(state: AgentState, row: RunRow): void {
    if (state.worker !== undefined && row.lastOrderSentAt > state.worker.epochRaisedAt) {
        state.worker = { ...state.worker, isConfirmed: false };
        state.markUpdatePending();
    }
}

/**
 * Finds the reason why a task cannot start now.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @param order - start order of the task
 * @returns the reason for the log, or undefined when the task can start
 */
export function findStartObstacle(state: AgentState, worker: WorkerRow, order: StartOrder): string | undefined {
    if (isZoneEvacuated(state)) {
        return "availability zone is evacuated";
    }
    if (!acceptsTasks(state)) {
        return "worker does not accept tasks";
    }
    if (worker.report.service !== order.service) {
        return "worker serves another service";
    }
    if (order.requiredLabel !== undefined && !worker.report.labels.includes(order.requiredLabel)) {
        return "worker lacks the required label";
    }
    if (mustBeKeptApart(state, order)) {
        return "task has to be kept apart from running tasks";
    }
    if (!fitsInto(order.needs, state.free)) {
        return "insufficient free resources";
    }
    let runsOfSameJob = 0;
    for (const row of state.runs.values()) {
        if (row.identity.job === order.job) {
            runsOfSameJob += 1;
            if (row.identity.task === order.task) {
                return "an earlier run of the task has not ended on this worker";
            }
        }
    }
    return runsOfSameJob >= order.maximumPerWorker ? "limit on tasks of the job per worker reached" : undefined;
}

/**
 * Tells whether the worker accepts new tasks.
 *
 * @param state - state of the agent
 * @returns false while its zone is evacuated, while the worker is unknown, has not reported lately, is unresponsive, draining, paused or runs its trial task, while a run
 *   that has to end goes on or was started by an earlier agent process, and when the agent shuts down
 */
export function acceptsTasks(state: AgentState): boolean {
    const { worker } = state;
    return worker !== undefined && worker.isConfirmed && worker.hasReported && worker.isResponsive
        && isCapacityKnown(state, worker) && !worker.report.isDraining && !state.isShuttingDown
        && !isZoneEvacuated(state)
        && !isLeaseWithheld(state, startWindowMilliseconds)
        && state.runs.size < getMaximumRuns(state.health, state.now);
}
