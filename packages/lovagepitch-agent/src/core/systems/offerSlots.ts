/**
 * Offers of free slots to entries that bid for them.
 */
import type { BidRow } from "../entities/rows.js";
import { countFreeSlots, isLeaving, isSuspect } from "./agentLoad.js";
import { reservePlace } from "./reservations.js";
import type { TickContext } from "./tickContext.js";

const defaultPrefetchLimit = 1;

/**
 * Offers free slots while nothing stands by.
 *
 * @param context - the tick
 */
export function offerFreeSlots(context: TickContext): void {
    let free = countOfferableSlots(context);
    while (free > 0) {
        const bid = chooseBid(context, () => true);
        if (bid === undefined) {
            wakeForDelayedBids(context);
            return;
        }
        reservePlace(context, bid.address, "slots");
        context.wakeAt(context.tables.offers.get(bid.address)?.expiresAtMilliseconds);
        free -= 1;
    }
}

function countOfferableSlots(context: TickContext): number {
    if (!canOffer(context)) {
        return 0;
    }
    const { runningTasks, standingBy, offers } = context.tables;
    const free = countFreeSlots(context) - standingBy.size;
    if (!isSuspect(context)) {
        return free;
    }
    // A suspect backend server is probed with one task at a time.
    return runningTasks + standingBy.size + offers.size === 0 ? Math.min(1, free) : 0;
}

function canOffer(context: TickContext): boolean {
    const { registration, manifest } = context.tables;
    return registration.number !== undefined && manifest !== undefined && !isLeaving(context);
}

/**
 * Offers places to stand by at a busy agent, to entries that a report goes to in this tick anyway.
 *
 * @param context - the tick
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
        reservePlace(context, bid.address, "standByPlaces");
        context.wakeAt(context.tables.offers.get(bid.address)?.expiresAtMilliseconds);
        places -= 1;
    }
}

function countPrefetchPlaces(context: TickContext): number {
    const { offers, standingBy, backendServer } = context.tables;
    if (backendServer?.state !== "present") {
        return 0;
    }
    let occupiedPlaces = standingBy.size;
    for (const offer of offers.values()) {
        occupiedPlaces += offer.standByPlaces;
    }
    return Math.min(context.settings.prefetchLimit ?? defaultPrefetchLimit, context.settings.standByLimit)
        - occupiedPlaces;
}

function chooseBid(context: TickContext, isCandidate: (bid: BidRow) => boolean): BidRow | undefined {
    const services = context.tables.backendServer?.offer.services ?? [];
    const [first, ...others] = [...context.tables.bids.values()].filter(bid => {
        const offer = context.tables.offers.get(bid.address);
        const offeredPlaces = offer === undefined ? 0 : offer.slots + offer.standByPlaces;
        return bid.waitingTasks > offeredPlaces
            && bid.nextOfferAtMilliseconds <= context.now
            && services.includes(bid.service)
            && isCandidate(bid);
    });
    return first === undefined ? undefined : context.dependencies.offerPolicy.choose([first, ...others]);
}

function wakeForDelayedBids(context: TickContext): void {
    for (const bid of context.tables.bids.values()) {
        if (bid.nextOfferAtMilliseconds > context.now) {
            context.wakeAt(bid.nextOfferAtMilliseconds);
        }
    }
}
