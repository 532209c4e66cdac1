/**
 * Stop orders to the worker, and the handling of their answers.
 */
import { formatRunKey } from "../model/frames.js";
import { orderTimeoutMilliseconds } from "../model/timing.js";
import type { OrderOutcome, WorkerRun } from "./agentPorts.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { requestNewEpoch } from "./otherProcesses.js";
import { endRun } from "./runEnds.js";

/** Largest number of stop orders that the worker has not answered; starts have a bound of their own. */
export const maximumStopsInFlight = 16;

/** A stop without an answer is sent again after this time, in milliseconds, which doubles with each repetition. */
const initialResendDelayMilliseconds = 50;

/** Longest time until a stop is sent again, in milliseconds. */
const maximumResendDelayMilliseconds = 200;

/** Random part of the delay from the second repetition on, so that many repetitions do not stay together. */
const jitterFraction = 0.25;

/**
 * Has a run stopped, which occupies the worker until it reports the end. A run whose start was never ordered ends at once.
 *
 * @param state - state of the agent
 * @param row - row of the run
 * @param reason - end that is reported to the entry once the run has stopped
 */
export function stopRun(state: AgentState, row: RunRow, reason: RunRow["stopReason"]): void {
    if (row.state === "pending") {
        endRun(state, row, "not-started");
        return;
    }
    if (row.state === "stopping" || row.state === "stopped" || state.worker === undefined) {
        return;
    }
    repeatStop(state, { ...row, stopReason: reason });
}

/**
 * Makes a stop due that the worker has not carried out, or that was ordered for the first time.
 *
 * @param state - state of the agent
 * @param row - row of the run
 */
export function repeatStop(state: AgentState, row: RunRow): void {
    state.runs.set(formatRunKey(row.workerRun), {
        ...row,
        state: "stopping",
        stopAttempts: 0,
        nextStopAt: state.now,
        isStopInFlight: false,
        visibleFromCall: Number.POSITIVE_INFINITY,
    });
}

/**
 * Sends the stop orders that are due, as far as the worker has answered earlier ones.
 *
 * @param state - state of the agent
 */
export function sendDueStops(state: AgentState): void {
    const { worker } = state;
    if (worker === undefined) {
        return;
    }
    const due = state.runs.listOpenOrders().filter(row => {
        return row.state === "stopping" && !row.isStopInFlight && state.now >= row.nextStopAt;
    });
    // Stops that have not been sent yet go before repetitions.
    due.sort((left, right) => left.stopAttempts - right.stopAttempts);
    for (const row of due.slice(0, Math.max(0, maximumStopsInFlight - state.stopsInFlight))) {
        sendStop(state, worker, row);
    }
}

function sendStop(state: AgentState, worker: WorkerRow, row: RunRow): void {
    state.stopsInFlight += 1;
    state.runs.set(formatRunKey(row.workerRun), {
        ...row,
        lastOrderSentAt: state.now,
        stopAttempts: row.stopAttempts + 1,
        nextStopAt: state.now + computeResendDelayMilliseconds(state, row.stopAttempts),
        isStopInFlight: true,
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

function computeResendDelayMilliseconds(state: AgentState, earlierAttempts: number): number {
    const delay = Math.min(maximumResendDelayMilliseconds, initialResendDelayMilliseconds * 2 ** earlierAttempts);
    return earlierAttempts === 0 ? delay : delay * (1 + jitterFraction * state.random.nextFraction());
}

/**
 * Processes the worker's answer to a stop order.
 *
 * @param state - state of the agent
 * @param run - run of the order, as the worker knows it
 * @param outcome - outcome of the order
 */
export function receiveStopAnswer(state: AgentState, run: WorkerRun, outcome: OrderOutcome): void {
    const key = formatRunKey(run);
    const row = state.runs.get(key);
    if (row?.state !== "stopping") {
        return;
    }
    switch (outcome) {
        case "unknown":
        case "rejected":
            state.runs.set(key, { ...row, isStopInFlight: false });
            return;
        case "not-sent":
            state.runs.set(key, { ...row, isStopInFlight: false, nextStopAt: state.now });
            return;
        case "outdated-epoch":
            state.runs.set(key, { ...row, isStopInFlight: false });
            requestNewEpoch(state, row);
            return;
        default:
            state.runs.set(key, {
                ...row,
                state: "stopped",
                isStopInFlight: false,
                visibleFromCall: state.nextCall,
            });
    }
}
