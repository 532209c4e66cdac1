/**
 * Announcements of the agent to entries: when something changes, and again until the entry has answered.
 */
import type { AnnounceAgent } from "@lovagepitch/types/peerMessage";
import type { EntryRow } from "../entities/rows.js";
import { createAgentLoad } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

const repeatIntervalMilliseconds = 5_000;
/** Pause between announcements to an entry that cannot be reached, in milliseconds. */
const unreachableRepeatIntervalMilliseconds = 30_000;

/**
 * Announces the agent to the entries that do not know its present state.
 *
 * @param context - the tick
 */
export function announceAgent(context: TickContext): void {
    const announcement = createAnnouncement(context);
    if (announcement === undefined) {
        return;
    }
    const fingerprint = createFingerprint(announcement);
    for (const entry of [...context.tables.entries.values()]) {
        const isChanged = entry.announcedFingerprint !== fingerprint;
        const isDue = entry.nextAnnouncementAtMilliseconds !== undefined
            && entry.nextAnnouncementAtMilliseconds <= context.now;
        if (isChanged || isDue) {
            sendAnnouncement(context, entry, announcement, fingerprint);
        }
        context.wakeAt(context.tables.entries.get(entry.address)?.nextAnnouncementAtMilliseconds);
    }
}

function createAnnouncement(context: TickContext): AnnounceAgent | undefined {
    const { registration, backendServer } = context.tables;
    if (registration.number === undefined || backendServer === undefined) {
        return undefined;
    }
    const { worker, rack, availabilityZone, cores, memoryMegabytes } = context.settings;
    return {
        type: "announceAgent",
        worker,
        rack,
        availabilityZone,
        cores,
        memoryMegabytes,
        registrationNumber: registration.number,
        services: backendServer.offer.services,
        load: createAgentLoad(context),
    };
}

/** Leaves out what changes with every task, which rides on reports. */
function createFingerprint(announcement: AnnounceAgent): string {
    const { slots, leaving, suspect } = announcement.load;
    return JSON.stringify([announcement.registrationNumber, announcement.services, slots, leaving, suspect]);
}

function sendAnnouncement(
    context: TickContext,
    entry: EntryRow,
    announcement: AnnounceAgent,
    fingerprint: string,
): void {
    context.send(entry.address, announcement);
    // An entry with nothing to say answers the ping, which ends the repetition.
    context.send(entry.address, { type: "ping" });
    const interval = entry.unreachableSinceMilliseconds !== undefined
        ? unreachableRepeatIntervalMilliseconds
        : repeatIntervalMilliseconds;
    context.tables.entries.set(entry.address, {
        ...entry,
        announcedFingerprint: fingerprint,
        nextAnnouncementAtMilliseconds: context.now + interval,
    });
}
