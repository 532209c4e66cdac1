/**
 * Delivery of outcomes, repeated with exponential backoff until they are acknowledged.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { AcknowledgeOutcomes } from "@lovagepitch/types/peerMessage";
import { createPeerScopedKey, createTaskKey } from "../entities/agentTables.js";
import { createTaskReport } from "../entities/ledger.js";
import type { DeliveryRow, SubmissionRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

/** Delay before the first retry, in milliseconds; it doubles with every attempt. */
const initialRetryDelayMilliseconds = 300;
/** Longest delay between attempts while the receiver is reachable, in milliseconds. */
const maximumRetryDelayMilliseconds = 5_000;
/** Longest delay between attempts during a graceful shutdown, which must finish quickly, in milliseconds. */
const maximumShutdownRetryDelayMilliseconds = 500;
/** Delay between attempts while the receiver is unreachable, in milliseconds. */
const unreachableRetryDelayMilliseconds = 10_000;
/** Most attempts to deliver refusals, or outcomes to an entry that sealed the submission but does not own it. */
const maximumBestEffortAttempts = 3;
/** Most outcomes that are resent in one tick. */
const maximumResendsPerTick = 500;

/**
 * Adds all due outcomes to the reports of the current tick and schedules the next attempts.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function deliverOutcomes(context: TickContext): void {
    let resendCount = 0;
    for (const [key, delivery] of [...context.tables.deliveries.entries()]) {
        const row = context.tables.submissions.get(delivery.submission);
        if (row === undefined || isAbandoned(context, delivery, row)) {
            context.tables.deliveries.delete(key);
            continue;
        }
        const isResend = delivery.attempts > 0;
        const isDue = delivery.nextAttemptAtMilliseconds <= context.now;
        if (!isDue || (isResend && resendCount >= maximumResendsPerTick)) {
            context.wakeAt(Math.max(delivery.nextAttemptAtMilliseconds, context.now + 1));
            continue;
        }
        resendCount += isResend ? delivery.indexes.length : 0;
        reportOutcomes(context, delivery);
        const nextAttemptAtMilliseconds = context.now + computeRetryDelay(context, delivery);
        context.tables.deliveries.set(key, {
            ...delivery,
            attempts: delivery.attempts + 1,
            nextAttemptAtMilliseconds,
        });
        context.wakeAt(nextAttemptAtMilliseconds);
    }
}

function isAbandoned(context: TickContext, delivery: DeliveryRow, row: SubmissionRow): boolean {
    if (row.updatedAtMilliseconds + context.settings.resubmissionWindowMilliseconds <= context.now) {
        return true;
    }
    if (delivery.attempts < maximumBestEffortAttempts || delivery.nextAttemptAtMilliseconds > context.now) {
        return false;
    }
    return delivery.receiver !== row.owner.address || !hasTaskResult(context, delivery);
}

/**
 * Tells whether a delivery contains the result of a task that ran.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param delivery - unacknowledged outcomes of one submission
 * @returns false when all its outcomes are refusals
 */
export function hasTaskResult(context: TickContext, delivery: DeliveryRow): boolean {
    return delivery.indexes.some(index => {
        const state = context.tables.tasks.get(createTaskKey(delivery.submission, index))?.state;
        return state === "succeeded" || state === "failed";
    });
}

function reportOutcomes(context: TickContext, delivery: DeliveryRow): void {
    for (const index of delivery.indexes) {
        const task = context.tables.tasks.get(createTaskKey(delivery.submission, index));
        if (task !== undefined) {
            context.addReport(delivery.receiver, delivery.submission, createTaskReport(task));
        }
    }
}

function computeRetryDelay(context: TickContext, delivery: DeliveryRow): number {
    const backoff = initialRetryDelayMilliseconds * 2 ** delivery.attempts;
    if (context.tables.agentState === "leaving") {
        return Math.min(maximumShutdownRetryDelayMilliseconds, backoff);
    }
    const entry = context.tables.entries.get(delivery.receiver);
    if (entry?.unreachableSinceMilliseconds !== undefined) {
        return unreachableRetryDelayMilliseconds;
    }
    return Math.min(maximumRetryDelayMilliseconds, backoff);
}

/**
 * Makes deliveries due immediately, because their receiver is reachable again or the agent shuts down.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param receiver - address of the receiver; undefined for all receivers
 */
export function retryDeliveriesNow(context: TickContext, receiver?: PeerAddress): void {
    for (const [key, delivery] of [...context.tables.deliveries.entries()]) {
        if (receiver === undefined || delivery.receiver === receiver) {
            const nextAttemptAtMilliseconds = Math.min(delivery.nextAttemptAtMilliseconds, context.now);
            context.tables.deliveries.set(key, {
                ...delivery,
                attempts: 0,
                nextAttemptAtMilliseconds,
            });
        }
    }
}

/**
 * Removes acknowledged outcomes from their delivery.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address of the entry that received the outcomes
 * @param message - submission and indexes of the acknowledged outcomes
 */
export function acknowledgeOutcomes(context: TickContext, sender: PeerAddress, message: AcknowledgeOutcomes): void {
    const key = createPeerScopedKey(sender, message.submission);
    const delivery = context.tables.deliveries.get(key);
    if (delivery === undefined) {
        return;
    }
    const indexes = delivery.indexes.filter(index => !message.indexes.includes(index));
    if (indexes.length === 0) {
        context.tables.deliveries.delete(key);
        return;
    }
    context.tables.deliveries.set(key, { ...delivery, indexes });
}
