/**
 * Delivery of outcomes until they are acknowledged.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { AcknowledgeOutcomes } from "@lovagepitch/types/peerMessage";
import { createPeerScopedKey, createTaskKey } from "../entities/agentTables.js";
import { createTaskReport } from "../entities/ledger.js";
import type { DeliveryRow, SubmissionRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

const initialRetryDelayMilliseconds = 300;
const maximumRetryDelayMilliseconds = 5_000;
/** Longest pause between attempts of a stopping agent, which has little time left, in milliseconds. */
const maximumStoppingRetryDelayMilliseconds = 500;
/** Pause between attempts while the receiver cannot be reached, in milliseconds. */
const unreachableRetryDelayMilliseconds = 10_000;
/** Times that a refusal, or an outcome for an entry that only sealed, is sent at most. */
const maximumBestEffortAttempts = 3;
/** Most outcomes that are sent again in one tick. */
const maximumResendsPerTick = 500;

/**
 * Adds due outcomes to the tick's reports.
 *
 * @param context - the tick
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
    return delivery.receiver !== row.keeper.address || !hasTaskResult(context, delivery);
}

/**
 * Tells whether a delivery holds the result of a task that ran.
 *
 * @param context - the tick
 * @param delivery - the delivery
 * @returns false when all of its outcomes are refusals
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
        return Math.min(maximumStoppingRetryDelayMilliseconds, backoff);
    }
    const entry = context.tables.entries.get(delivery.receiver);
    if (entry?.unreachableSinceMilliseconds !== undefined) {
        return unreachableRetryDelayMilliseconds;
    }
    return Math.min(maximumRetryDelayMilliseconds, backoff);
}

/**
 * Makes every delivery due, for a receiver that is back or an agent that stops.
 *
 * @param context - the tick
 * @param receiver - the receiver; undefined for all
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
 * Ends the delivery of outcomes that arrived.
 *
 * @param context - the tick
 * @param sender - the entry that has them
 * @param message - the outcomes
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
