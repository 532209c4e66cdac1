/**
 * Reservations of slots and queue places for entries that have received an offer.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import { createPeerScopedKey } from "../entities/agentTables.js";
import type { BidRow } from "../entities/rows.js";
import type { TickContext } from "./tickContext.js";

/** Time that a reservation is held without a reply, in milliseconds; a multiple of a network round trip. */
const offerTimeoutMilliseconds = 20;
/** Consecutive offers without a reply after which a bid is removed. */
const maximumUnansweredOffers = 8;

/**
 * Reserves a slot or a queue place for an entry and adds it to the offer of the current tick.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry
 * @param kind - `slots` for a free slot, `queuePlaces` for a place in the agent's queue
 */
export function reservePlace(context: TickContext, address: PeerAddress, kind: "slots" | "queuePlaces"): void {
    const existing = context.tables.offers.get(address);
    const row = {
        address,
        slots: existing?.slots ?? 0,
        queuePlaces: existing?.queuePlaces ?? 0,
        offeredAtMilliseconds: context.now,
        expiresAtMilliseconds: context.now + offerTimeoutMilliseconds,
    };
    context.tables.offers.set(address, { ...row, [kind]: row[kind] + 1 });
    context.offeredSlots.set(address, (context.offeredSlots.get(address) ?? 0) + 1);
}

/**
 * Deducts an accepted task from the reservation and the bid of its sender.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry that sent the task
 * @param service - service of the task, which identifies the bid
 * @param kind - `slots` when the task started, `queuePlaces` when it was queued
 */
export function consumeReservation(
    context: TickContext,
    address: PeerAddress,
    service: string,
    kind: "slots" | "queuePlaces",
): void {
    const offer = context.tables.offers.get(address);
    if (offer !== undefined) {
        const remaining = { ...offer, [kind]: Math.max(0, offer[kind] - 1) };
        if (remaining.slots + remaining.queuePlaces === 0) {
            context.tables.offers.delete(address);
        }
        else {
            context.tables.offers.set(address, remaining);
        }
    }
    const key = createPeerScopedKey(address, service);
    const bid = context.tables.bids.get(key);
    if (bid === undefined || bid.placedAtMilliseconds === context.now) {
        // A bid that arrived in the same tick does not count the tasks that were sent with it.
        return;
    }
    if (bid.waitingTasks <= 1) {
        context.tables.bids.delete(key);
        return;
    }
    context.tables.bids.set(key, { ...bid, waitingTasks: bid.waitingTasks - 1, unansweredOffers: 0 });
}

/**
 * Releases reservations whose entries did not reply in time and postpones the next offer for their bids.
 *
 * @param context - state, settings, time and outputs of the current tick
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
 * Releases reserved slots and queue places that an entry declined, and removes the bids that the offer was made for.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry
 * @param slots - number of offered slots and queue places that the entry does not need
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
        queuePlaces: Math.max(0, offer.queuePlaces - (slots - declinedSlots)),
    };
    if (remaining.slots + remaining.queuePlaces === 0) {
        context.tables.offers.delete(address);
    }
    else {
        context.tables.offers.set(address, remaining);
    }
    for (const bid of findBids(context, address)) {
        // A bid that was placed after the offer counts tasks that the offer was not made for.
        if (bid.placedAtMilliseconds <= offer.offeredAtMilliseconds) {
            context.tables.bids.delete(createPeerScopedKey(bid.address, bid.service));
        }
    }
}

/**
 * Finds the bids of an entry.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry
 * @returns one bid per service that the entry has waiting tasks of
 */
export function findBids(context: TickContext, address: PeerAddress): readonly BidRow[] {
    return [...context.tables.bids.values()].filter(bid => bid.address === address);
}

/**
 * Removes the bids and the reservation of an entry.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry
 */
export function removeBids(context: TickContext, address: PeerAddress): void {
    context.tables.offers.delete(address);
    for (const bid of findBids(context, address)) {
        context.tables.bids.delete(createPeerScopedKey(bid.address, bid.service));
    }
}
