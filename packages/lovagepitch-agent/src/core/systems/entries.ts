/**
 * Known entries, their incarnations and their reachability.
 */
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { EntryRegistration } from "@lovagepitch/types/registry";
import { maximumEntries } from "../entities/agentTables.js";
import { retryDeliveriesNow } from "./deliverOutcomes.js";
import { removeBids } from "./reservations.js";
import type { TickContext } from "./tickContext.js";

/** Most earlier incarnations that are stored per entry. */
const maximumReplacedIncarnations = 8;

/**
 * Updates the row of the entry that sent a batch. A new incarnation at a known address replaces the earlier one, whose
 * bids and deliveries are removed.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address and incarnation of the entry
 * @param hasReply - false when the batch contains only pings, which an entry also sends before it has received an
 *     announcement of the agent
 * @returns false when the batch comes from a replaced incarnation and must be ignored
 */
export function recordSender(context: TickContext, sender: PeerIdentity, hasReply: boolean): boolean {
    const known = context.tables.entries.get(sender.address);
    if (known === undefined) {
        addEntry(context, sender);
        return true;
    }
    if (known.replacedIncarnations.includes(sender.incarnation)) {
        return false;
    }
    const updated = { ...known, unreachableSinceMilliseconds: undefined, lastReceivedAtMilliseconds: context.now };
    if (known.incarnation === undefined || known.incarnation === sender.incarnation) {
        context.tables.entries.set(sender.address, {
            ...updated,
            incarnation: sender.incarnation,
            nextAnnouncementAtMilliseconds: known.announcedFingerprint !== undefined && hasReply
                ? undefined
                : known.nextAnnouncementAtMilliseconds,
        });
        if (known.unreachableSinceMilliseconds !== undefined) {
            retryDeliveriesNow(context, known.address);
        }
        return true;
    }
    context.tables.entries.set(sender.address, {
        ...updated,
        incarnation: sender.incarnation,
        replacedIncarnations: [...known.replacedIncarnations, known.incarnation].slice(-maximumReplacedIncarnations),
        announcedFingerprint: undefined,
        nextAnnouncementAtMilliseconds: undefined,
    });
    removeBids(context, sender.address);
    removeDeliveries(context, sender.address);
    return true;
}

/**
 * Makes the announcement to an entry due immediately, because the entry sent a ping and has not replied to the latest
 * announcement.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry that sent the ping
 */
export function forceAnnouncement(context: TickContext, address: PeerAddress): void {
    const known = context.tables.entries.get(address);
    if (known?.nextAnnouncementAtMilliseconds !== undefined) {
        context.tables.entries.set(address, { ...known, announcedFingerprint: undefined });
    }
}

function addEntry(context: TickContext, sender: PeerIdentity): void {
    if (context.tables.entries.size >= maximumEntries) {
        return;
    }
    context.tables.entries.set(sender.address, {
        address: sender.address,
        incarnation: sender.incarnation,
        replacedIncarnations: [],
        unreachableSinceMilliseconds: undefined,
        lastReceivedAtMilliseconds: context.now,
        announcedFingerprint: undefined,
        nextAnnouncementAtMilliseconds: undefined,
    });
}

function removeDeliveries(context: TickContext, address: PeerAddress): void {
    for (const [key, delivery] of [...context.tables.deliveries.entries()]) {
        if (delivery.receiver === address) {
            context.tables.deliveries.delete(key);
        }
    }
}

/**
 * Marks an entry as unreachable and removes its bids.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param address - address of the entry
 */
export function markEntryUnreachable(context: TickContext, address: PeerAddress): void {
    const known = context.tables.entries.get(address);
    if (known !== undefined) {
        const unreachableSinceMilliseconds = known.unreachableSinceMilliseconds ?? context.now;
        context.tables.entries.set(address, { ...known, unreachableSinceMilliseconds });
    }
    removeBids(context, address);
}

/**
 * Synchronizes the known entries with the registry: adds entries that are serving, and removes entries that are not
 * registered as serving and are unreachable or have never sent a batch.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param entries - all rows of entries in the registry
 */
export function synchronizeEntries(context: TickContext, entries: readonly EntryRegistration[]): void {
    context.tables.hasReadEntries = true;
    const serving = new Map(entries.filter(entry => entry.state === "serving").map(entry => [entry.address, entry]));
    for (const known of [...context.tables.entries.values()]) {
        const isUnconfirmed = known.unreachableSinceMilliseconds !== undefined
            || known.lastReceivedAtMilliseconds === 0;
        if (isUnconfirmed && !serving.has(known.address)) {
            context.tables.entries.delete(known.address);
        }
    }
    for (const entry of serving.values()) {
        if (!context.tables.entries.has(entry.address) && context.tables.entries.size < maximumEntries) {
            context.tables.entries.set(entry.address, {
                address: entry.address,
                // The registry may be outdated; the entry's own messages contain its incarnation.
                incarnation: undefined,
                replacedIncarnations: [],
                unreachableSinceMilliseconds: undefined,
                lastReceivedAtMilliseconds: 0,
                announcedFingerprint: undefined,
                nextAnnouncementAtMilliseconds: undefined,
            });
        }
    }
}
