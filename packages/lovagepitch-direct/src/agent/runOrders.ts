/**
 * Start orders to the worker, and the handling of their answers.
 */
import { type EndedRun, formatRunKey, pickRunIdentity, type StartOrder } from "../model/frames.js";
import { fitsInto, noResources } from "../model/resources.js";
import { orderTimeoutMilliseconds, workerLeaseMilliseconds } from "../model/timing.js";
import { getMaximumRuns } from "../policies/workerHealth.js";
import type { OrderOutcome, WorkerRun } from "./agentPorts.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { mustBeKeptApart } from "./isolation.js";
import { requestNewEpoch } from "./otherProcesses.js";
import { endRun, reportEnd } from "./runEnds.js";
import { stopRun } from "./stopOrders.js";
import { isCapacityKnown } from "./workerCapacity.js";
import { estimateWorkerClock, isLeaseWithheld } from "./workerLease.js";
import { isZoneEvacuated } from "./zoneEvacuation.js";

/** The worker rejects a start that arrives later than this, in milliseconds; it usually answers within a few. */
const startWindowMilliseconds = 300;

/** Largest number of start orders that the worker has not answered; others wait in the agent, which can still return them. */
export const maximumStartsInFlight = 16;

/** Shortest time for which a start may be pending, in milliseconds; a task of a job that has begun has no other limit. */
const minimumPendingMilliseconds = 300;

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
 * Accepts a start order: its resources are reserved, and the worker is ordered to start the task when its turn comes.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry that sent the order
 * @param order - start order of the task
 */
export function startRun(state: AgentState, entry: string, order: StartOrder): void {
    const { now } = state;
    const workerRun = state.runNumbers.take(order, now);
    state.addRun({
        identity: pickRunIdentity(order),
        workerRun,
        order,
        entry,
        state: "pending",
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
        percent: 0,
        percentChangedAt: now,
        mustEndSince: undefined,
        stopReason: "not-started",
    });
    const { priority, spareMilliseconds } = order.urgency;
    state.pendingStarts.add({
        key: formatRunKey(workerRun),
        job: order.job,
        priority,
        expiresAt: now + Math.max(minimumPendingMilliseconds, spareMilliseconds),
    });
}

/**
 * Sends pending start orders as far as the worker has answered earlier ones. When the worker can start no tasks any more,
 * all of them are returned to their entries, as none has reached the worker.
 *
 * @param state - state of the agent
 */
export function sendPendingStarts(state: AgentState): void {
    const { worker, pendingStarts } = state;
    if (pendingStarts.size === 0) {
        return;
    }
    const canStart = worker !== undefined && canOrderStarts(state) && fitsInto(noResources, state.free)
        && state.runs.size <= getMaximumRuns(state.health, state.now);
    const returned = canStart ? pendingStarts.listExpired(state.now) : pendingStarts.listAll();
    for (const key of returned) {
        const row = state.runs.get(key);
        if (row !== undefined) {
            endRun(state, row, "not-started");
        }
    }
    if (returned.length > 0) {
        state.log("info", "pending starts returned", { starts: returned.length, isExpired: canStart });
    }
    while (worker !== undefined && state.startsInFlight < maximumStartsInFlight) {
        const row = state.runs.get(pendingStarts.takeNext() ?? "");
        if (row?.order === undefined) {
            return;
        }
        state.runs.set(formatRunKey(row.workerRun), {
            ...row,
            state: "starting",
            orderedAt: state.now,
            lastOrderSentAt: state.now,
            runningSince: state.now,
            percentChangedAt: state.now,
            startAttempts: 1,
            startEpoch: worker.epoch,
        });
        sendStart(state, worker, row.order, row.workerRun);
    }
}

function sendStart(state: AgentState, worker: WorkerRow, order: StartOrder, run: WorkerRun): void {
    state.startsInFlight += 1;
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
    const openOrders = state.runs.listOpenOrders();
    if (worker === undefined || openOrders.length === 0 || !mayRepeatStarts(state)) {
        return;
    }
    for (const row of openOrders) {
        const dueAt = getRepeatAt(state, row);
        if (row.order !== undefined && dueAt !== undefined && state.now >= dueAt) {
            const startAttempts = row.startAttempts + 1;
            state.runs.set(formatRunKey(row.workerRun), { ...row, startAttempts, startEpoch: worker.epoch });
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
    const openOrders = state.runs.listOpenOrders();
    if (openOrders.length === 0 || !mayRepeatStarts(state)) {
        return undefined;
    }
    let next: number | undefined;
    for (const row of openOrders) {
        const dueAt = getRepeatAt(state, row);
        next = dueAt === undefined || (next !== undefined && next <= dueAt) ? next : dueAt;
    }
    return next;
}

function mayRepeatStarts(state: AgentState): boolean {
    // A repeated order could be the one that starts the task, in a zone in which none may start any more, or beyond a
    // capacity that has shrunk, and it extends the worker's lease. While other starts are pending, it would delay these.
    return state.worker?.isResponsive === true && state.pendingStarts.size === 0 && !isZoneEvacuated(state)
        && fitsInto(noResources, state.free) && !isLeaseWithheld(state, startWindowMilliseconds);
}

function getRepeatAt(state: AgentState, row: RunRow): number | undefined {
    return row.state === "starting" && row.startAttempts === 1
        ? row.lastOrderSentAt + state.answerTime.repeatDelayMilliseconds
        : undefined;
}

/**
 * Processes the worker's answer to a start order.
 *
 * @param state - state of the agent
 * @param run - run of the order, as the worker knows it
 * @param outcome - outcome of the order
 * @param receivedAt - when the answer was read, in monotonic milliseconds
 */
export function receiveStartAnswer(
    state: AgentState,
    run: WorkerRun,
    outcome: OrderOutcome,
    receivedAt = state.now,
): void {
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
        state.answerTime.record(receivedAt - row.lastOrderSentAt);
    }
    switch (outcome) {
        case "accepted":
            return recordStarted(state, row, receivedAt);
        case "superseded":
            // The run may have been started by the other attempt and have ended; the next view tells.
            return isOnlyAttempt ? rejectStart(state, row, outcome) : recordStarted(state, row, receivedAt);
        case "rejected":
            return isOnlyAttempt ? rejectStart(state, row, outcome) : recordUnanswered(state, row);
        case "other-incarnation":
            // The former incarnation has ended with all its runs, but the other attempt may have started this one.
            return isOnlyAttempt ? rejectStart(state, row, outcome) : endRun(state, row, "lost");
        case "outdated-epoch":
            requestNewEpoch(state, row);
            return isOnlyAttempt ? endRun(state, row, "not-started") : recordUnanswered(state, row);
        case "not-sent":
            return isOnlyAttempt ? endRun(state, row, "not-started") : countUnanswered(state, row);
        case "unknown":
            return countUnanswered(state, row);
    }
}

function countUnanswered(state: AgentState, row: RunRow): void {
    const unansweredAttempts = row.unansweredAttempts + 1;
    state.runs.set(formatRunKey(row.workerRun), { ...row, unansweredAttempts });
    if (unansweredAttempts === row.startAttempts) {
        recordUnanswered(state, row);
    }
}

function recordStarted(state: AgentState, row: RunRow, startedAt: number): void {
    state.runs.set(formatRunKey(row.workerRun), {
        ...row,
        state: "running",
        runningSince: startedAt,
        percentChangedAt: startedAt,
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
    if (state.runs.hasTask(order.job, order.task)) {
        return "an earlier run of the task has not ended on this worker";
    }
    return state.runs.countOfJob(order.job) >= order.maximumPerWorker
        ? "limit on tasks of the job per worker reached"
        : undefined;
}

/**
 * Tells whether the worker accepts new tasks.
 *
 * @param state - state of the agent
 * @returns false while its zone is evacuated, while the worker is unknown, has not reported lately, is unresponsive, draining, paused or runs its trial task, while a run
 *   that has to end goes on or was started by an earlier agent process, and when the agent shuts down
 */
export function acceptsTasks(state: AgentState): boolean {
    return canOrderStarts(state) && state.runs.size < getMaximumRuns(state.health, state.now);
}

function canOrderStarts(state: AgentState): boolean {
    const { worker } = state;
    return worker !== undefined && worker.isConfirmed && worker.hasReported && worker.isResponsive
        && isCapacityKnown(state, worker) && !worker.report.isDraining && !state.isShuttingDown
        && !isZoneEvacuated(state)
        && !isLeaseWithheld(state, startWindowMilliseconds);
}
