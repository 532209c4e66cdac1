/**
 * Starts and stops of runs, and what becomes of orders without an answer.
 */
import { type EndedRun, formatRunKey, type RunIdentity, type StartOrder } from "../model/frames.js";
import { fitsInto } from "../model/resources.js";
import { getMaximumRuns } from "../policies/workerHealth.js";
import type { OrderOutcome } from "./agentPorts.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { enqueueOrder } from "./orderQueue.js";
import { endRun, reportEnd } from "./runEnds.js";

/** The worker rejects a start that reaches it later than this; its usual answer takes a few milliseconds. */
const startWindowMilliseconds = 300;

/** A stop without an answer is sent again after this time. */
const stopResendIntervalMilliseconds = 50;

/**
 * Starts a task, or reports at once that it cannot start here.
 *
 * @param state - the agent
 * @param entry - incarnation of the entry
 * @param order - the task
 */
export function receiveStart(state: AgentState, entry: string, order: StartOrder): void {
    if (state.runs.has(formatRunKey(order))) {
        return;
    }
    const { worker } = state;
    const obstacle = worker === undefined ? "no worker" : findStartObstacle(state, worker, order);
    if (worker === undefined || (obstacle !== undefined && obstacle !== "no room")) {
        declineStart(state, entry, order);
        state.log("info", "start declined", { job: order.job, task: order.task, run: order.run, obstacle });
    }
    else if (obstacle === undefined) {
        startRun(state, worker, entry, order);
    }
    else {
        enqueueOrder(state, entry, order);
    }
}

/**
 * Gives an order back to its entry.
 *
 * @param state - the agent
 * @param entry - incarnation of the entry
 * @param order - the task
 */
export function declineStart(state: AgentState, entry: string, order: StartOrder): void {
    const ended: EndedRun = { ...createRunIdentity(order), end: "not-started", ranMilliseconds: 0 };
    reportEnd(state, entry, ended);
}

/**
 * Has the worker start a task.
 *
 * @param state - the agent
 * @param worker - the worker
 * @param entry - incarnation of the entry
 * @param order - the task
 */
export function startRun(state: AgentState, worker: WorkerRow, entry: string, order: StartOrder): void {
    const { now } = state;
    state.addRun({
        identity: createRunIdentity(order),
        order,
        entry,
        state: "starting",
        orderedAt: now,
        lastOrderSentAt: now,
        visibleFromCall: Number.POSITIVE_INFINITY,
        runningSince: now,
        percent: 0,
        percentChangedAt: now,
        stopReason: "not-started",
    });
    state.outputs.push({
        kind: "start",
        worker: worker.report.id,
        order,
        epoch: worker.epoch,
        latestStart: Math.floor(now + worker.clockOffset + startWindowMilliseconds),
    });
}

/**
 * Stops a run; it occupies the worker until the worker lists it as ended.
 *
 * @param state - the agent
 * @param row - the run
 * @param reason - what its entry is told when it has stopped
 */
export function stopRun(state: AgentState, row: RunRow, reason: RunRow["stopReason"]): void {
    const { worker } = state;
    if (row.state === "stopped" || worker === undefined) {
        return;
    }
    state.runs.set(formatRunKey(row.identity), {
        ...row,
        state: "stopping",
        lastOrderSentAt: state.now,
        visibleFromCall: Number.POSITIVE_INFINITY,
        stopReason: row.state === "stopping" ? row.stopReason : reason,
    });
    state.outputs.push({ kind: "stop", worker: worker.report.id, run: row.identity, epoch: worker.epoch });
}

/**
 * Takes the worker's answer to a start.
 *
 * @param state - the agent
 * @param identity - the run
 * @param outcome - the answer
 */
export function receiveStartAnswer(state: AgentState, identity: RunIdentity, outcome: OrderOutcome): void {
    const row = state.runs.get(formatRunKey(identity));
    if (row?.state !== "starting") {
        return;
    }
    switch (outcome) {
        case "accepted":
            state.runs.set(formatRunKey(identity), {
                ...row,
                state: "running",
                runningSince: state.now,
                percentChangedAt: state.now,
                visibleFromCall: state.nextCall,
            });
            return;
        case "rejected":
        case "superseded":
        case "other-incarnation":
            state.log("warn", "worker rejected a start", { ...identity, outcome });
            endRun(state, row, "not-started");
            return;
        case "outdated-epoch":
            endRun(state, row, "not-started");
            requestNewEpoch(state);
            return;
        case "unknown":
            state.runs.set(formatRunKey(identity), { ...row, state: "unanswered" });
            if (state.worker?.isResponsive === false) {
                revokeStart(state, row);
            }
    }
}

/**
 * Revokes a start without an answer that no view has shown. The order may be carried out later; a confirmed stop of the
 * run rules that out.
 *
 * @param state - the agent
 * @param row - the run
 */
export function revokeStart(state: AgentState, row: RunRow): void {
    state.log("warn", "start without an answer is revoked", { ...row.identity });
    stopRun(state, row, "not-started");
}

/**
 * Takes the worker's answer to a stop.
 *
 * @param state - the agent
 * @param identity - the run
 * @param outcome - the answer
 */
export function receiveStopAnswer(state: AgentState, identity: RunIdentity, outcome: OrderOutcome): void {
    const row = state.runs.get(formatRunKey(identity));
    if (row?.state !== "stopping") {
        return;
    }
    if (outcome === "unknown" || outcome === "rejected") {
        return;
    }
    if (outcome === "outdated-epoch") {
        requestNewEpoch(state);
        return;
    }
    state.runs.set(formatRunKey(identity), { ...row, state: "stopped", visibleFromCall: state.nextCall });
}

/**
 * Sends again the stops that have had no answer for a while.
 *
 * @param state - the agent
 */
export function resendStops(state: AgentState): void {
    for (const row of [...state.runs.values()]) {
        if (row.state === "stopping" && state.now - row.lastOrderSentAt >= stopResendIntervalMilliseconds) {
            stopRun(state, row, row.stopReason);
        }
    }
}

/** The next view is refused as well, with the worker's clock, from which a new epoch is taken. */
function requestNewEpoch(state: AgentState): void {
    if (state.worker !== undefined) {
        state.worker = { ...state.worker, isConfirmed: false };
        state.markUpdatePending();
    }
}

/**
 * Finds out why a task cannot start now.
 *
 * @param state - the agent
 * @param worker - the worker
 * @param order - the task
 * @returns the reason, undefined when it can start
 */
export function findStartObstacle(state: AgentState, worker: WorkerRow, order: StartOrder): string | undefined {
    if (!acceptsTasks(state)) {
        return "worker takes no tasks now";
    }
    if (worker.report.service !== order.service) {
        return "worker serves another service";
    }
    if (order.requiredLabel !== undefined && !worker.report.labels.includes(order.requiredLabel)) {
        return "worker lacks the required label";
    }
    if (!fitsInto(order.needs, state.free)) {
        return "no room";
    }
    let runsOfSameJob = 0;
    for (const row of state.runs.values()) {
        if (row.identity.job === order.job) {
            runsOfSameJob += 1;
            if (row.identity.task === order.task) {
                return "an earlier run of the task has not ended here";
            }
        }
    }
    return runsOfSameJob >= order.maximumPerWorker ? "as many tasks of the job as one worker may run" : undefined;
}

/**
 * Tells whether the worker takes new tasks.
 *
 * @param state - the agent
 * @returns false while the worker drains, does not respond or is unknown, and when the agent shuts down
 */
export function acceptsTasks(state: AgentState): boolean {
    const { worker } = state;
    return worker !== undefined && worker.isConfirmed && worker.isResponsive && !worker.report.isDraining
        && !state.isShuttingDown && !hasUnknownRun(state) && state.runs.size < getMaximumRuns(state.health, state.now);
}

/** What a run of an earlier process occupies is unknown, so nothing is started beside it. */
function hasUnknownRun(state: AgentState): boolean {
    for (const row of state.runs.values()) {
        if (row.order === undefined) {
            return true;
        }
    }
    return false;
}

function createRunIdentity(order: StartOrder): RunIdentity {
    return { job: order.job, task: order.task, run: order.run };
}
