/**
 * Orders that wait at the agent for room on its worker. Orders of all entries meet here, so the most urgent one of the
 * deployment starts first, and a worker whose task has ended is not idle until entries have heard of it.
 */
import { formatRunKey, type RunIdentity, type StartOrder } from "../model/frames.js";
import { compareWaitingWork, type WaitingWork } from "../policies/waitingOrder.js";
import type { AgentState, QueuedOrder } from "./agentState.js";
import { declineStart, findStartObstacle, startRun } from "./runOrders.js";

/** Orders that may wait for room at a time: about as many as start in the time that they may wait. */
const maximumQueuedOrders = 4;

/**
 * Has an order wait for room. When too many wait, the least urgent one is given back.
 *
 * @param state - the agent
 * @param entry - incarnation of the entry
 * @param order - the task
 */
export function enqueueOrder(state: AgentState, entry: string, order: StartOrder): void {
    const queued = { order, entry, receivedAt: state.now, expiresAt: state.now + order.mayWaitMilliseconds };
    state.queuedOrders.set(formatRunKey(order), queued);
    state.markUpdatePending();
    const excess = listByUrgency(state).at(maximumQueuedOrders);
    if (excess !== undefined) {
        returnOrder(state, excess);
    }
}

/**
 * Starts orders that wait for room, the most urgent first, and gives back those that have waited long enough.
 *
 * @param state - the agent
 */
export function startQueuedOrders(state: AgentState): void {
    if (state.queuedOrders.size === 0) {
        return;
    }
    for (const queued of listByUrgency(state)) {
        const { order, entry, expiresAt: expiresAt } = queued;
        const { worker } = state;
        const obstacle = worker === undefined ? "no worker" : findStartObstacle(state, worker, order);
        if (worker !== undefined && obstacle === undefined) {
            state.queuedOrders.delete(formatRunKey(order));
            startRun(state, worker, entry, order);
        }
        else if (obstacle !== "no room" || state.now >= expiresAt) {
            returnOrder(state, queued);
        }
    }
}

/**
 * Takes back an order that waits for room.
 *
 * @param state - the agent
 * @param entry - incarnation of the entry
 * @param identity - the run
 */
export function withdrawQueuedOrder(state: AgentState, entry: string, identity: RunIdentity): void {
    const queued = state.queuedOrders.get(formatRunKey(identity));
    if (queued?.entry === entry) {
        returnOrder(state, queued);
    }
}

function returnOrder(state: AgentState, queued: QueuedOrder): void {
    state.queuedOrders.delete(formatRunKey(queued.order));
    state.markUpdatePending();
    declineStart(state, queued.entry, queued.order);
}

function listByUrgency(state: AgentState): readonly QueuedOrder[] {
    return [...state.queuedOrders.values()].sort((left, right) => {
        return compareWaitingWork(describeUrgency(left), describeUrgency(right));
    });
}

function describeUrgency({ order, receivedAt }: QueuedOrder): WaitingWork {
    const { isBegun, priority, spareMilliseconds } = order.urgency;
    return { isBegun, priority, latestStart: receivedAt + spareMilliseconds };
}
