/**
 * Start orders that arrive from entries, and those queued at the agent until its worker has free capacity. The queue
 * holds orders of all entries, so the most urgent one of the deployment starts first, and a worker whose task has ended
 * does not stay idle until entries learn of it.
 */
import { formatRunKey, pickRunIdentity, type RunIdentity, type StartOrder } from "../model/frames.js";
import { compareWaitingWork, type WaitingWork } from "../policies/waitingOrder.js";
import type { AgentState, QueuedOrder } from "./agentState.js";
import { declineStart, findStartObstacle, startRun } from "./runOrders.js";

/** Largest number of queued orders; about as many as start within the time that an order may be queued. */
const maximumQueuedOrders = 4;

/** Longest time between ticks while orders are queued, in milliseconds; a small part of the time that they may wait. */
export const queueCheckIntervalMilliseconds = 6;

/**
 * Starts a task, queues its order, or returns the order at once when the task cannot start on this worker.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry that sent the order
 * @param order - start order of the task
 */
export function receiveStart(state: AgentState, entry: string, order: StartOrder): void {
    const known = state.runs.findOrdered(entry, order);
    if (known !== undefined) {
        const { state: knownState } = known;
        state.log("warn", "repeated start order ignored", { ...pickRunIdentity(order), entry, state: knownState });
        return;
    }
    const { worker } = state;
    const obstacle = worker === undefined ? "no worker" : findStartObstacle(state, worker, order);
    if (worker === undefined || (obstacle !== undefined && obstacle !== "insufficient free resources")) {
        declineStart(state, entry, order);
        state.log("info", "start declined", { ...pickRunIdentity(order), obstacle });
    }
    else if (obstacle === undefined) {
        startRun(state, entry, order);
    }
    else {
        enqueueOrder(state, entry, order);
    }
}

/**
 * Queues an order until the worker has free capacity. If the queue is full, the least urgent order is returned.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry that sent the order
 * @param order - start order of the task
 */
function enqueueOrder(state: AgentState, entry: string, order: StartOrder): void {
    const queued = { order, entry, receivedAt: state.now, expiresAt: state.now + order.mayWaitMilliseconds };
    state.queuedOrders.set(formatOrderKey(entry, order), queued);
    state.markUpdatePending();
    const excess = listByUrgency(state).at(maximumQueuedOrders);
    if (excess !== undefined) {
        returnOrder(state, excess);
    }
}

/**
 * Starts queued orders, the most urgent first, and returns those that have expired or cannot start any more.
 *
 * @param state - state of the agent
 */
export function startQueuedOrders(state: AgentState): void {
    if (state.queuedOrders.size === 0) {
        return;
    }
    for (const queued of listByUrgency(state)) {
        const { order, entry, expiresAt } = queued;
        const { worker } = state;
        const obstacle = worker === undefined ? "no worker" : findStartObstacle(state, worker, order);
        if (state.now >= expiresAt + queueCheckIntervalMilliseconds) {
            // No check has been made since it expired, so this process was paused.
            returnOrder(state, queued);
        }
        else if (worker !== undefined && obstacle === undefined) {
            state.queuedOrders.delete(formatOrderKey(entry, order));
            startRun(state, entry, order);
        }
        else if (obstacle !== "insufficient free resources" || state.now >= expiresAt) {
            returnOrder(state, queued);
        }
    }
}

/**
 * Removes a queued order and returns it to its entry.
 *
 * @param state - state of the agent
 * @param entry - incarnation of the entry that sent the order
 * @param identity - run of the order
 */
export function withdrawQueuedOrder(state: AgentState, entry: string, identity: RunIdentity): void {
    const queued = state.queuedOrders.get(formatOrderKey(entry, identity));
    if (queued !== undefined) {
        returnOrder(state, queued);
    }
}

function returnOrder(state: AgentState, queued: QueuedOrder): void {
    state.queuedOrders.delete(formatOrderKey(queued.entry, queued.order));
    state.markUpdatePending();
    declineStart(state, queued.entry, queued.order);
}

function formatOrderKey(entry: string, identity: RunIdentity): string {
    return `${entry} ${formatRunKey(identity)}`;
}

function listByUrgency(state: AgentState): readonly QueuedOrder[] {
    return [...state.queuedOrders.values()].sort((left, right) => {
        return compareWaitingWork(describeUrgency(left), describeUrgency(right));
    });
}

function describeUrgency({ order, receivedAt }: QueuedOrder): WaitingWork {
    const { isBegun, isShort, priority, spareMilliseconds } = order.urgency;
    return { isBegun, isShort: isShort === true, priority, latestStart: receivedAt + spareMilliseconds };
}
