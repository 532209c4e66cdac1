/**
 * Entries that the agent knows of, and their incarnations.
 */
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { EntryRegistration } from "@lovagepitch/types/registry";
import { maximumEntries } from "../entities/agentTables.js";
import { retryDeliveriesNow } from "./deliverOutcomes.js";
import { removeBids } from "./reservations.js";
import type { TickContext } from "./tickContext.js";

/** Earlier incarnations of an entry that are remembered. */
const maximumReplacedIncarnations = 8;

/**
 * Takes note of a batch's sender.
 *
 * @param context - the tick
 * @param sender - the entry
 * @param hasReply - false when it only asks for a sign of life, which it also does while it does not know the agent
 * @returns false when the batch comes from an incarnation that another has replaced
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
 * Has the agent announce itself at once to an entry that asks for it and has not answered the latest announcement.
 *
 * @param context - the tick
 * @param address - address of the entry
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
 * Takes note that an entry cannot be reached.
 *
 * @param context - the tick
 * @param address - the entry
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
 * Adds the entries of a reading of the registry, and removes those that are gone.
 *
 * @param context - the tick
 * @param entries - the registered entries
 */
export function synchronizeEntries(context: TickContext, entries: readonly EntryRegistration[]): void {
    const serving = new Map(entries.filter(entry => entry.state === "serving").map(entry => [entry.address, entry]));
    for (const known of [...context.tables.entries.values()]) {
        const isUnheard = known.unreachableSinceMilliseconds !== undefined || known.lastReceivedAtMilliseconds === 0;
        if (isUnheard && !serving.has(known.address)) {
            context.tables.entries.delete(known.address);
        }
    }
    for (const entry of serving.values()) {
        if (!context.tables.entries.has(entry.address) && context.tables.entries.size < maximumEntries) {
            context.tables.entries.set(entry.address, {
                address: entry.address,
                // The row may be older than what the entry itself will say.
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
