/**
 * Offers of free slots and queue places to entries that have placed bids.
 */
import type { BidRow } from "../entities/rows.js";
import { countFreeSlots, isLeaving, isSuspect } from "./agentLoad.js";
import { reservePlace } from "./reservations.js";
import type { TickContext } from "./tickContext.js";

/** Tasks that a fully occupied agent prefetches into its queue when the settings name no limit. */
const defaultPrefetchLimit = 1;

/**
 * Offers the free slots that remain after one slot is set aside for each queued task.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function offerFreeSlots(context: TickContext): void {
    let freeSlots = countOfferableSlots(context);
    while (freeSlots > 0) {
        const bid = chooseBid(context, () => true);
        if (bid === undefined) {
            wakeForPostponedBids(context);
            return;
        }
        reservePlace(context, bid.address, "slots");
        context.wakeAt(context.tables.offers.get(bid.address)?.expiresAtMilliseconds);
        freeSlots -= 1;
    }
}

function countOfferableSlots(context: TickContext): number {
    if (!canOffer(context)) {
        return 0;
    }
    const { runningTasks, queuedTasks, offers } = context.tables;
    const freeSlots = countFreeSlots(context) - queuedTasks.size;
    if (!isSuspect(context)) {
        return freeSlots;
    }
    // Send only one task at a time to a suspect backend server until a task succeeds.
    return runningTasks + queuedTasks.size + offers.size === 0 ? Math.min(1, freeSlots) : 0;
}

function canOffer(context: TickContext): boolean {
    const { registration, manifest } = context.tables;
    return registration.number !== undefined && manifest !== undefined && !isLeaving(context);
}

/**
 * Offers queue places of a fully occupied agent, so that a prefetched task can start as soon as a slot is free. Only
 * entries that already receive a report in the current tick get an offer, which saves a separate message.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function offerPrefetchPlaces(context: TickContext): void {
    if (!canOffer(context) || isSuspect(context) || countFreeSlots(context) > 0) {
        return;
    }
    const receivers = new Set([...context.pendingReports.values()].map(pending => pending.destination));
    let places = countPrefetchPlaces(context);
    while (places > 0) {
        const bid = chooseBid(context, candidate => receivers.has(candidate.address));
        if (bid === undefined) {
            return;
        }
        reservePlace(context, bid.address, "queuePlaces");
        context.wakeAt(context.tables.offers.get(bid.address)?.expiresAtMilliseconds);
        places -= 1;
    }
}

function countPrefetchPlaces(context: TickContext): number {
    const { offers, queuedTasks, backendServer } = context.tables;
    if (backendServer?.state !== "present") {
        return 0;
    }
    let occupiedPlaces = queuedTasks.size;
    for (const offer of offers.values()) {
        occupiedPlaces += offer.queuePlaces;
    }
    return Math.min(context.settings.prefetchLimit ?? defaultPrefetchLimit, context.settings.standByLimit)
        - occupiedPlaces;
}

function chooseBid(context: TickContext, isCandidate: (bid: BidRow) => boolean): BidRow | undefined {
    const services = context.tables.backendServer?.announcement.services ?? [];
    const [first, ...others] = [...context.tables.bids.values()].filter(bid => {
        const offer = context.tables.offers.get(bid.address);
        const offeredPlaces = offer === undefined ? 0 : offer.slots + offer.queuePlaces;
        return bid.waitingTasks > offeredPlaces
            && bid.nextOfferAtMilliseconds <= context.now
            && services.includes(bid.service)
            && isCandidate(bid);
    });
    return first === undefined ? undefined : context.dependencies.offerPolicy.choose([first, ...others]);
}

function wakeForPostponedBids(context: TickContext): void {
    for (const bid of context.tables.bids.values()) {
        if (bid.nextOfferAtMilliseconds > context.now) {
            context.wakeAt(bid.nextOfferAtMilliseconds);
        }
    }
}
