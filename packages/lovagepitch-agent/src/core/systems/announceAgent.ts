/**
 * Announcements of the agent to entries: sent after every change and repeated until the entry replies.
 */
import type { AnnounceAgent } from "@lovagepitch/types/peerMessage";
import type { EntryRow } from "../entities/rows.js";
import { createAgentLoad } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

/** Interval between announcements to a reachable entry that has not replied, in milliseconds. */
const repeatIntervalMilliseconds = 5_000;
/** Interval between announcements to an unreachable entry, in milliseconds. */
const unreachableRepeatIntervalMilliseconds = 30_000;

/**
 * Sends an announcement to every entry that has not received the agent's current state or has not replied to it.
 *
 * @param context - state, settings, time and outputs of the current tick
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
        services: backendServer.announcement.services,
        load: createAgentLoad(context),
    };
}

/** Identifies the announced state. Task counts are left out: they change with every task and reports carry them. */
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
    // Every entry replies to the ping, even when it has nothing else to send; the reply stops the repetition.
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
