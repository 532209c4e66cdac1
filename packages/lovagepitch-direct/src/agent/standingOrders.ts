/**
 * Orders that wait at the agent for room on its worker. Orders of all entries meet here, so the most urgent one of the
 * deployment starts first, and a worker whose task has ended is not idle until entries have heard of it.
 */
import { formatRunKey, type RunIdentity, type StartOrder } from "../model/frames.js";
import { compareWaitingWork, type WaitingWork } from "../policies/waitingOrder.js";
import type { AgentState, StandingOrder } from "./agentState.js";
import { declineStart, findObstacle, startRun } from "./starts.js";

/** Orders that may wait for room at a time: about as many as start in the time that they may wait. */
const mostStandingBy = 4;

/**
 * Has an order wait for room. When too many wait, the least urgent one is given back.
 *
 * @param state - the agent
 * @param entry - incarnation of the entry
 * @param order - the task
 */
export function standBy(state: AgentState, entry: string, order: StartOrder): void {
    const standing = { order, entry, receivedAt: state.now, until: state.now + order.mayWaitMilliseconds };
    state.standingBy.set(formatRunKey(order), standing);
    state.markOutdated();
    const last = listByUrgency(state).at(mostStandingBy);
    if (last !== undefined) {
        giveBack(state, last);
    }
}

/**
 * Starts orders that wait for room, the most urgent first, and gives back those that have waited long enough.
 *
 * @param state - the agent
 */
export function startStandingBy(state: AgentState): void {
    if (state.standingBy.size === 0) {
        return;
    }
    for (const standing of listByUrgency(state)) {
        const { order, entry, until } = standing;
        const { worker } = state;
        const obstacle = worker === undefined ? "no worker" : findObstacle(state, worker, order);
        if (worker !== undefined && obstacle === undefined) {
            state.standingBy.delete(formatRunKey(order));
            startRun(state, worker, entry, order);
        }
        else if (obstacle !== "no room" || state.now >= until) {
            giveBack(state, standing);
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
export function withdrawStanding(state: AgentState, entry: string, identity: RunIdentity): void {
    const standing = state.standingBy.get(formatRunKey(identity));
    if (standing?.entry === entry) {
        giveBack(state, standing);
    }
}

function giveBack(state: AgentState, standing: StandingOrder): void {
    state.standingBy.delete(formatRunKey(standing.order));
    state.markOutdated();
    declineStart(state, standing.entry, standing.order);
}

function listByUrgency(state: AgentState): readonly StandingOrder[] {
    return [...state.standingBy.values()].sort((left, right) => {
        return compareWaitingWork(describeUrgency(left), describeUrgency(right));
    });
}

function describeUrgency({ order, receivedAt }: StandingOrder): WaitingWork {
    const { isBegun, priority, spareMilliseconds } = order.urgency;
    return { isBegun, priority, latestStart: receivedAt + spareMilliseconds };
}
