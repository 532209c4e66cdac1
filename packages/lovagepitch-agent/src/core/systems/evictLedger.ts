/**
 * Bounds on the ledger: records leave after the resubmission window, or earlier when the ledger is full.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import { pairKey } from "../entities/agentTables.js";
import { forgetOldest } from "../entities/ledger.js";
import type { SubmissionRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

/** Least time between two looks at the window, in milliseconds. */
const evictionPauseMilliseconds = 1_000;

/**
 * Drops records whose window has passed, and the oldest ones while the ledger is over its bound.
 *
 * @param context - the tick
 */
export function evictLedger(context: TickContext): void {
    const { tables, now } = context;
    if (tables.evictAtMilliseconds <= now) {
        const due = evictExpired(context);
        tables.evictAtMilliseconds = Math.max(due, now + evictionPauseMilliseconds);
    }
    if (tables.keepers.size > 0) {
        context.wakeAt(tables.evictAtMilliseconds);
    }
    hasLedgerRoom(context);
}

/** Drops what the window has passed for; returns the instant at which the next record is due. */
function evictExpired(context: TickContext): number {
    const window = context.settings.resubmissionWindowMilliseconds;
    let nextDue = context.now + window;
    for (const [keeper] of [...context.tables.keepers.entries()]) {
        let head = findHead(context, keeper);
        while (head !== undefined && head.unfinished === 0 && head.touchedAtMilliseconds + window <= context.now) {
            forgetOldest(context.tables, keeper);
            head = findHead(context, keeper);
        }
        if (head !== undefined && head.unfinished === 0) {
            nextDue = Math.min(nextDue, head.touchedAtMilliseconds + window);
        }
    }
    return nextDue;
}

/**
 * Makes room in the ledger.
 *
 * @param context - the tick
 * @returns true when a record can be added
 */
export function hasLedgerRoom(context: TickContext): boolean {
    while (context.tables.ledgerBytes >= context.settings.maximumLedgerBytes) {
        const keeper = chooseKeeper(context);
        if (keeper === undefined) {
            return false;
        }
        forgetOldest(context.tables, keeper);
    }
    return true;
}

/** Chooses the keeper with the oldest first submission; outcomes that were acknowledged leave first. */
function chooseKeeper(context: TickContext): Incarnation | undefined {
    let chosen: SubmissionRow | undefined;
    for (const [keeper] of context.tables.keepers.entries()) {
        const head = findHead(context, keeper);
        if (head !== undefined && head.unfinished === 0 && leavesBefore(context, head, chosen)) {
            chosen = head;
        }
    }
    return chosen?.keeper.incarnation;
}

function leavesBefore(context: TickContext, row: SubmissionRow, other: SubmissionRow | undefined): boolean {
    if (other === undefined) {
        return true;
    }
    const isDelivered = !isAwaited(context, row);
    if (isDelivered !== !isAwaited(context, other)) {
        return isDelivered;
    }
    return row.touchedAtMilliseconds < other.touchedAtMilliseconds;
}

function isAwaited(context: TickContext, row: SubmissionRow): boolean {
    return context.tables.deliveries.has(pairKey(row.keeper.address, row.submission));
}

function findHead(context: TickContext, keeper: Incarnation): SubmissionRow | undefined {
    const submission = context.tables.keepers.get(keeper)?.first();
    return submission === undefined ? undefined : context.tables.submissions.get(submission);
}
