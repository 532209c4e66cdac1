/**
 * Slots and places that are reserved for an entry while it considers an offer.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import { createPeerScopedKey } from "../entities/agentTables.js";
import type { BidRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

/** How long an offer is held, in milliseconds; many times a round trip. */
const offerTimeoutMilliseconds = 20;
/** Offers in a row without a reply after which a bid is dropped. */
const maximumUnansweredOffers = 8;

/**
 * Reserves a slot or a place to stand by for an entry.
 *
 * @param context - the tick
 * @param address - the entry
 * @param kind - what is reserved
 */
export function reservePlace(context: TickContext, address: PeerAddress, kind: "slots" | "standByPlaces"): void {
    const existing = context.tables.offers.get(address);
    const row = {
        address,
        slots: existing?.slots ?? 0,
        standByPlaces: existing?.standByPlaces ?? 0,
        offeredAtMilliseconds: context.now,
        expiresAtMilliseconds: context.now + offerTimeoutMilliseconds,
    };
    context.tables.offers.set(address, { ...row, [kind]: row[kind] + 1 });
    context.offeredSlots.set(address, (context.offeredSlots.get(address) ?? 0) + 1);
}

/**
 * Counts a taken task against its sender's reservation and bid.
 *
 * @param context - the tick
 * @param address - the entry
 * @param service - the task's service
 * @param kind - what the task took
 */
export function consumeReservation(
    context: TickContext,
    address: PeerAddress,
    service: string,
    kind: "slots" | "standByPlaces",
): void {
    const offer = context.tables.offers.get(address);
    if (offer !== undefined) {
        const remaining = { ...offer, [kind]: Math.max(0, offer[kind] - 1) };
        if (remaining.slots + remaining.standByPlaces === 0) {
            context.tables.offers.delete(address);
        }
        else {
            context.tables.offers.set(address, remaining);
        }
    }
    const key = createPeerScopedKey(address, service);
    const bid = context.tables.bids.get(key);
    if (bid === undefined || bid.placedAtMilliseconds === context.now) {
        // A bid of this very tick already leaves out the tasks that came with it.
        return;
    }
    if (bid.waitingTasks <= 1) {
        context.tables.bids.delete(key);
        return;
    }
    context.tables.bids.set(key, { ...bid, waitingTasks: bid.waitingTasks - 1, unansweredOffers: 0 });
}

/**
 * Ends reservations whose entries did not reply in time; their bids wait longer for the next offer.
 *
 * @param context - the tick
 */
export function expireOffers(context: TickContext): void {
    for (const offer of [...context.tables.offers.values()]) {
        if (offer.expiresAtMilliseconds > context.now) {
            context.wakeAt(offer.expiresAtMilliseconds);
            continue;
        }
        context.tables.offers.delete(offer.address);
        for (const bid of findBids(context, offer.address)) {
            postponeBid(context, bid);
        }
    }
}

function postponeBid(context: TickContext, bid: BidRow): void {
    const key = createPeerScopedKey(bid.address, bid.service);
    const unansweredOffers = bid.unansweredOffers + 1;
    if (unansweredOffers >= maximumUnansweredOffers) {
        context.tables.bids.delete(key);
        return;
    }
    const nextOfferAtMilliseconds = context.now + offerTimeoutMilliseconds * 2 ** unansweredOffers;
    context.tables.bids.set(key, {
        ...bid,
        unansweredOffers,
        nextOfferAtMilliseconds,
    });
}

/**
 * Ends a reservation that its entry declined, with the bids that the offer answered.
 *
 * @param context - the tick
 * @param address - the entry
 * @param slots - slots that it does not need
 */
export function declineOffer(context: TickContext, address: PeerAddress, slots: number): void {
    const offer = context.tables.offers.get(address);
    if (offer === undefined) {
        return;
    }
    const declinedSlots = Math.min(offer.slots, slots);
    const remaining = {
        ...offer,
        slots: offer.slots - declinedSlots,
        standByPlaces: Math.max(0, offer.standByPlaces - (slots - declinedSlots)),
    };
    if (remaining.slots + remaining.standByPlaces === 0) {
        context.tables.offers.delete(address);
    }
    else {
        context.tables.offers.set(address, remaining);
    }
    for (const bid of findBids(context, address)) {
        // A bid that was placed after the offer speaks of tasks that the offer did not count.
        if (bid.placedAtMilliseconds <= offer.offeredAtMilliseconds) {
            context.tables.bids.delete(createPeerScopedKey(bid.address, bid.service));
        }
    }
}

/**
 * Lists the bids of an entry.
 *
 * @param context - the tick
 * @param address - the entry
 * @returns its bids
 */
export function findBids(context: TickContext, address: PeerAddress): readonly BidRow[] {
    return [...context.tables.bids.values()].filter(bid => bid.address === address);
}

/**
 * Drops the bids and the reservation of an entry.
 *
 * @param context - the tick
 * @param address - the entry
 */
export function removeBids(context: TickContext, address: PeerAddress): void {
    context.tables.offers.delete(address);
    for (const bid of findBids(context, address)) {
        context.tables.bids.delete(createPeerScopedKey(bid.address, bid.service));
    }
}
