/**
 * Registration of the agent in the platform's table.
 */
import { agentLifecycle } from "../lifecycles/agentLifecycle.js";
import type { TickContext } from "./tickContext.js";

/** Delay before the first retry of a failed registration, in milliseconds; it doubles with every failure. */
const initialRetryDelayMilliseconds = 500;
/** Longest delay between registration attempts, in milliseconds. */
const maximumRetryDelayMilliseconds = 10_000;

/**
 * Stores the registration number once the registration row is durable.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param number - registration number of the row
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
        // The row was written after the shutdown had completed.
        context.outputs.push({ type: "deregister" });
    }
}

/**
 * Schedules the next registration attempt after a failed one.
 *
 * @param context - state, settings, time and outputs of the current tick
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
 * Requests the registration row once a backend server has announced itself, and again when a retry is due.
 *
 * @param context - state, settings, time and outputs of the current tick
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
