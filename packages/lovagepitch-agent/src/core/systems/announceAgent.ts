/**
 * Announcements of the agent to entries: when something changes, and again until the entry has answered.
 */
import type { AnnounceAgent } from "@lovagepitch/types/peerMessage";
import type { EntryRow } from "../entities/rows.js";
import { describeLoad } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

const repeatMilliseconds = 5_000;
/** Pause between announcements to an entry that cannot be reached, in milliseconds. */
const unreachableRepeatMilliseconds = 30_000;

/**
 * Announces the agent to the entries that do not know its present state.
 *
 * @param context - the tick
 */
export function announceAgent(context: TickContext): void {
    const announcement = describeAgent(context);
    if (announcement === undefined) {
        return;
    }
    const signature = signAnnouncement(announcement);
    for (const entry of [...context.tables.entries.values()]) {
        const isChanged = entry.announced !== signature;
        const isDue = entry.announceAtMilliseconds !== undefined && entry.announceAtMilliseconds <= context.now;
        if (isChanged || isDue) {
            announceTo(context, entry, announcement, signature);
        }
        context.wakeAt(context.tables.entries.get(entry.address)?.announceAtMilliseconds);
    }
}

function describeAgent(context: TickContext): AnnounceAgent | undefined {
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
        load: describeLoad(context),
    };
}

/** Leaves out what changes with every task, which rides on reports. */
function signAnnouncement(announcement: AnnounceAgent): string {
    const { slots, leaving, suspect } = announcement.load;
    return JSON.stringify([announcement.registrationNumber, announcement.services, slots, leaving, suspect]);
}

function announceTo(context: TickContext, entry: EntryRow, announcement: AnnounceAgent, signature: string): void {
    context.send(entry.address, announcement);
    // An entry with nothing to say answers the ping, which ends the repetition.
    context.send(entry.address, { type: "ping" });
    const pause = entry.unreachableSinceMilliseconds !== undefined ? unreachableRepeatMilliseconds : repeatMilliseconds;
    context.tables.entries.set(entry.address, {
        ...entry,
        announced: signature,
        announceAtMilliseconds: context.now + pause,
    });
}
