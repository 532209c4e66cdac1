/**
 * The agent's registration row.
 */
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import type { TickContext } from "./tickContext.js";

const initialRetryDelayMilliseconds = 500;
const maximumRetryDelayMilliseconds = 10_000;

/**
 * Takes note that the registration row is durable.
 *
 * @param context - the tick
 * @param number - the row's number
 */
export function handleRegistration(context: TickContext, number: number): void {
    const { tables } = context;
    const highestNumber = Math.max(number, tables.registration.number ?? 0);
    tables.registration = {
        ...tables.registration,
        number: highestNumber,
        failures: 0,
        nextAttemptAtMilliseconds: undefined,
    };
    if (agentLifecycle.allows(tables.agentState, "registered")) {
        tables.agentState = agentLifecycle.next(tables.agentState, "registered");
    }
    if (tables.agentState === "stopped") {
        // The row was written after the stop had ended.
        context.outputs.push({ type: "deregister" });
    }
}

/**
 * Plans the next attempt after a failed one.
 *
 * @param context - the tick
 */
export function handleRegistrationFailure(context: TickContext): void {
    const { registration } = context.tables;
    if (registration.number !== undefined) {
        return;
    }
    const delay = Math.min(maximumRetryDelayMilliseconds, initialRetryDelayMilliseconds * 2 ** registration.failures);
    context.tables.registration = {
        ...registration,
        failures: registration.failures + 1,
        nextAttemptAtMilliseconds: context.now + delay,
    };
}

/**
 * Asks for the registration row once a backend server is there, and again when that failed.
 *
 * @param context - the tick
 */
export function requestRegistration(context: TickContext): void {
    const { agentState, registration, backendServer } = context.tables;
    if (agentState !== "registering" || backendServer === undefined || registration.number !== undefined) {
        return;
    }
    const isRetryDue = registration.nextAttemptAtMilliseconds !== undefined
        && registration.nextAttemptAtMilliseconds <= context.now;
    if (registration.isRequested && !isRetryDue) {
        context.wakeAt(registration.nextAttemptAtMilliseconds);
        return;
    }
    context.tables.registration = { ...registration, isRequested: true, nextAttemptAtMilliseconds: undefined };
    context.outputs.push({ type: "register" });
}
