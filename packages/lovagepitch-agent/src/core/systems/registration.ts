/**
 * The agent's registration row.
 */
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import type { TickContext } from "./tickContext.js";

const firstRetryMilliseconds = 500;
const longestRetryMilliseconds = 10_000;

/**
 * Takes note that the registration row is durable.
 *
 * @param context - the tick
 * @param number - the row's number
 */
export function receiveRegistration(context: TickContext, number: number): void {
    const { tables } = context;
    const highest = Math.max(number, tables.registration.number ?? 0);
    tables.registration = { ...tables.registration, number: highest, failures: 0, retryAtMilliseconds: undefined };
    if (agentLifecycle.allows(tables.agent, "registered")) {
        tables.agent = agentLifecycle.next(tables.agent, "registered");
    }
    if (tables.agent === "stopped") {
        // The row was written after the stop had ended.
        context.outputs.push({ type: "deregister" });
    }
}

/**
 * Plans the next attempt after a failed one.
 *
 * @param context - the tick
 */
export function receiveRegistrationFailure(context: TickContext): void {
    const { registration } = context.tables;
    if (registration.number !== undefined) {
        return;
    }
    const pause = Math.min(longestRetryMilliseconds, firstRetryMilliseconds * 2 ** registration.failures);
    context.tables.registration = {
        ...registration,
        failures: registration.failures + 1,
        retryAtMilliseconds: context.now + pause,
    };
}

/**
 * Asks for the registration row once a backend server is there, and again when that failed.
 *
 * @param context - the tick
 */
export function register(context: TickContext): void {
    const { agent, registration, backendServer } = context.tables;
    if (agent !== "registering" || backendServer === undefined || registration.number !== undefined) {
        return;
    }
    const isRetryDue = registration.retryAtMilliseconds !== undefined
        && registration.retryAtMilliseconds <= context.now;
    if (registration.requested && !isRetryDue) {
        context.wakeAt(registration.retryAtMilliseconds);
        return;
    }
    context.tables.registration = { ...registration, requested: true, retryAtMilliseconds: undefined };
    context.outputs.push({ type: "register" });
}
