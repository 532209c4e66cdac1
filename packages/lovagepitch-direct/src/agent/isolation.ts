/**
 * Separation of tasks that may crash the worker. Entries choose idle workers for them; the agent, which alone knows the orders
 * of all entries, enforces it.
 */
import type { Isolation, StartOrder } from "../model/frames.js";
import type { AgentState } from "./agentState.js";

/**
 * Finds the separation of the tasks that run on the worker.
 *
 * @param state - state of the agent
 * @returns the separation; undefined while any task may run beside them
 */
export function findIsolation(state: AgentState): Isolation | undefined {
    for (const { order } of state.runs.values()) {
        if (order?.isolation !== undefined) {
            return order.isolation;
        }
    }
    return undefined;
}

/**
 * Tells whether a task may not run beside those that run on the worker.
 *
 * @param state - state of the agent
 * @param order - start order of the task
 * @returns true when it or one of them has to be kept apart
 */
export function mustBeKeptApart(state: AgentState, order: StartOrder): boolean {
    for (const run of state.runs.values()) {
        const isSameJob = run.identity.job === order.job;
        const areShared = order.isolation === "shared" && run.order?.isolation === "shared";
        const isSeparated = order.isolation !== undefined || run.order?.isolation !== undefined;
        if (isSeparated && !isSameJob && !areShared) {
            return true;
        }
    }
    return false;
}
