/**
 * Eviction from the ledger: records are removed after the resubmission window, or earlier when the ledger is full.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import { createPeerScopedKey } from "../entities/agentTables.js";
import { evictOldestSubmission } from "../entities/ledger.js";
import type { SubmissionRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

/** Shortest interval between two checks for expired submissions, in milliseconds. */
const minimumEvictionIntervalMilliseconds = 1_000;

/**
 * Evicts submissions whose resubmission window has passed, and the oldest ones while the ledger exceeds its size limit.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function evictSubmissions(context: TickContext): void {
    const { tables, now } = context;
    if (tables.nextEvictionAtMilliseconds <= now) {
        const nextDueAtMilliseconds = evictExpiredSubmissions(context);
        tables.nextEvictionAtMilliseconds = Math.max(nextDueAtMilliseconds, now + minimumEvictionIntervalMilliseconds);
    }
    if (tables.submissionsByOwner.size > 0) {
        context.wakeAt(tables.nextEvictionAtMilliseconds);
    }
    ensureLedgerCapacity(context);
}

/** Evicts expired submissions; returns the time at which the next one expires, in milliseconds since the epoch. */
function evictExpiredSubmissions(context: TickContext): number {
    const windowMilliseconds = context.settings.resubmissionWindowMilliseconds;
    let nextDueAtMilliseconds = context.now + windowMilliseconds;
    for (const [owner] of [...context.tables.submissionsByOwner.entries()]) {
        let oldest = findOldestSubmission(context, owner);
        while (
            oldest !== undefined && oldest.unfinishedTasks === 0
            && oldest.updatedAtMilliseconds + windowMilliseconds <= context.now
        ) {
            evictOldestSubmission(context.tables, owner);
            oldest = findOldestSubmission(context, owner);
        }
        if (oldest !== undefined && oldest.unfinishedTasks === 0) {
            nextDueAtMilliseconds = Math.min(nextDueAtMilliseconds, oldest.updatedAtMilliseconds + windowMilliseconds);
        }
    }
    return nextDueAtMilliseconds;
}

/**
 * Evicts the oldest submissions until the ledger is below its size limit.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @returns true when a record can be added; false when the oldest submission of every owner has unfinished tasks
 */
export function ensureLedgerCapacity(context: TickContext): boolean {
    while (context.tables.ledgerBytes >= context.settings.maximumLedgerBytes) {
        const owner = chooseOwnerToEvictFrom(context);
        if (owner === undefined) {
            return false;
        }
        evictOldestSubmission(context.tables, owner);
    }
    return true;
}

/**
 * Selects the owner whose oldest submission is evicted next: submissions with acknowledged outcomes come first, then
 * the one that was updated longest ago.
 */
function chooseOwnerToEvictFrom(context: TickContext): Incarnation | undefined {
    let candidate: SubmissionRow | undefined;
    for (const [owner] of context.tables.submissionsByOwner.entries()) {
        const oldest = findOldestSubmission(context, owner);
        if (oldest !== undefined && oldest.unfinishedTasks === 0 && isEvictedBefore(context, oldest, candidate)) {
            candidate = oldest;
        }
    }
    return candidate?.owner.incarnation;
}

function isEvictedBefore(context: TickContext, row: SubmissionRow, other: SubmissionRow | undefined): boolean {
    if (other === undefined) {
        return true;
    }
    const isDelivered = !hasPendingDelivery(context, row);
    if (isDelivered !== !hasPendingDelivery(context, other)) {
        return isDelivered;
    }
    return row.updatedAtMilliseconds < other.updatedAtMilliseconds;
}

function hasPendingDelivery(context: TickContext, row: SubmissionRow): boolean {
    return context.tables.deliveries.has(createPeerScopedKey(row.owner.address, row.submission));
}

function findOldestSubmission(context: TickContext, owner: Incarnation): SubmissionRow | undefined {
    const submission = context.tables.submissionsByOwner.get(owner)?.peekFirst();
    return submission === undefined ? undefined : context.tables.submissions.get(submission);
}
