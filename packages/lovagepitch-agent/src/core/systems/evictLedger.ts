/**
 * Bounds on the ledger: records leave after the resubmission window, or earlier when the ledger is full.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import { createPeerScopedKey } from "../entities/agentTables.js";
import { evictOldestSubmission } from "../entities/ledger.js";
import type { SubmissionRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

/** Least time between two looks at the window, in milliseconds. */
const minimumEvictionIntervalMilliseconds = 1_000;

/**
 * Drops records whose window has passed, and the oldest ones while the ledger is over its bound.
 *
 * @param context - the tick
 */
export function evictLedger(context: TickContext): void {
    const { tables, now } = context;
    if (tables.nextEvictionAtMilliseconds <= now) {
        const nextDueAtMilliseconds = evictExpiredSubmissions(context);
        tables.nextEvictionAtMilliseconds = Math.max(nextDueAtMilliseconds, now + minimumEvictionIntervalMilliseconds);
    }
    if (tables.submissionsByKeeper.size > 0) {
        context.wakeAt(tables.nextEvictionAtMilliseconds);
    }
    ensureLedgerCapacity(context);
}

/** Drops what the window has passed for; returns the instant at which the next record is due. */
function evictExpiredSubmissions(context: TickContext): number {
    const windowMilliseconds = context.settings.resubmissionWindowMilliseconds;
    let nextDueAtMilliseconds = context.now + windowMilliseconds;
    for (const [keeper] of [...context.tables.submissionsByKeeper.entries()]) {
        let oldest = findOldestSubmission(context, keeper);
        while (
            oldest !== undefined && oldest.unfinishedTasks === 0
            && oldest.updatedAtMilliseconds + windowMilliseconds <= context.now
        ) {
            evictOldestSubmission(context.tables, keeper);
            oldest = findOldestSubmission(context, keeper);
        }
        if (oldest !== undefined && oldest.unfinishedTasks === 0) {
            nextDueAtMilliseconds = Math.min(nextDueAtMilliseconds, oldest.updatedAtMilliseconds + windowMilliseconds);
        }
    }
    return nextDueAtMilliseconds;
}

/**
 * Makes room in the ledger.
 *
 * @param context - the tick
 * @returns true when a record can be added
 */
export function ensureLedgerCapacity(context: TickContext): boolean {
    while (context.tables.ledgerBytes >= context.settings.maximumLedgerBytes) {
        const keeper = chooseKeeperToEvictFrom(context);
        if (keeper === undefined) {
            return false;
        }
        evictOldestSubmission(context.tables, keeper);
    }
    return true;
}

/** Chooses the keeper with the oldest first submission; outcomes that were acknowledged leave first. */
function chooseKeeperToEvictFrom(context: TickContext): Incarnation | undefined {
    let candidate: SubmissionRow | undefined;
    for (const [keeper] of context.tables.submissionsByKeeper.entries()) {
        const oldest = findOldestSubmission(context, keeper);
        if (oldest !== undefined && oldest.unfinishedTasks === 0 && isEvictedBefore(context, oldest, candidate)) {
            candidate = oldest;
        }
    }
    return candidate?.keeper.incarnation;
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
    return context.tables.deliveries.has(createPeerScopedKey(row.keeper.address, row.submission));
}

function findOldestSubmission(context: TickContext, keeper: Incarnation): SubmissionRow | undefined {
    const submission = context.tables.submissionsByKeeper.get(keeper)?.peekFirst();
    return submission === undefined ? undefined : context.tables.submissions.get(submission);
}
